package router

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

// TestKeyThatIsNoTextIsRefused guards against a request that is answered with the outcome of another one: the store replaces bytes that
// are no UTF-8, so that the records of different keys are the same row.
func TestKeyThatIsNoTextIsRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		key     string
		refused bool
	}{
		"text": {key: "order-1"}, "UTF-8": {key: "Bestellung-ä"}, "Latin-1": {key: "Bestellung-\xe4", refused: true}, "any bytes": {key: "\xff\xfe", refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Router{clock: masticway.SystemClock{}}
			q := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
			q.Header.Set(headerKey, tc.key)
			_, err := r.newRequest(callerRequest{http: q, contract: masticway.Contract{Workspace: "w"}})
			refused, ok := errors.AsType[*masticway.RefusalError](err)
			qt.Assert(t, ok, qt.Equals, tc.refused)
			if ok {
				qt.Check(t, refused.Status, qt.Equals, http.StatusUnprocessableEntity)
				qt.Check(t, refused.Fate, qt.Equals, masticway.FateNotRun)
			}
		})
	}
}
