package examiner_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/examiner"
)

func TestDigestTellsRequestsApart(t *testing.T) {
	one := examiner.DigestInput{Workspace: "w", Method: "POST", Host: "h", Target: "/a/b?c", Body: []byte("body")}
	qt.Assert(t, examiner.Digest(one), qt.Equals, examiner.Digest(one))
	for name, other := range map[string]examiner.DigestInput{
		"another caller":                   {Workspace: "v", Method: "POST", Host: "h", Target: "/a/b?c", Body: []byte("body")},
		"another method":                   {Workspace: "w", Method: "PUT", Host: "h", Target: "/a/b?c", Body: []byte("body")},
		"another host":                     {Workspace: "w", Method: "POST", Host: "g", Target: "/a/b?c", Body: []byte("body")},
		"another path":                     {Workspace: "w", Method: "POST", Host: "h", Target: "/a/d?c", Body: []byte("body")},
		"another end of the body":          {Workspace: "w", Method: "POST", Host: "h", Target: "/a/b?c", Body: []byte("bodY")},
		"the same bytes in other fields":   {Workspace: "w", Method: "POST", Host: "h/", Target: "a/b?c", Body: []byte("body")},
		"no body, its bytes in the target": {Workspace: "w", Method: "POST", Host: "h", Target: "/a/b?cbody"},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, examiner.Digest(other), qt.Not(qt.Equals), examiner.Digest(one))
		})
	}
}
