package router

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/authenticator"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/charter"
	"github.com/masticway/masticway/configurer"
	"github.com/masticway/masticway/explainer"
	"github.com/masticway/masticway/linker"
	"github.com/masticway/masticway/tracker"
	"github.com/masticway/masticway/validator"
)

const (
	// operatorTimeout limits the time for one operator request. maxOperatorBody is the maximum size of its body in bytes.
	operatorTimeout = 5 * time.Second
	maxOperatorBody = 1 << 20
	// maxHistory is the maximum number of changes in the answer to a request for the configuration history.
	maxHistory = 50
)

// OperatorHandler returns the HTTP handler for the requests of operators. It must be served on a listener of its own. The
// endpoints under /admin/v1 require the operators' token. Those for health, readiness and metrics do not.
func (r *Router) OperatorHandler() http.Handler {
	ws := new(restful.WebService).Path("/admin/v1").Consumes("*/*").Produces("*/*")
	ws.Route(ws.GET("/contracts").To(r.handleOperator(r.listContracts)))
	ws.Route(ws.GET("/contracts/{workspace}").To(r.handleOperator(r.getContract)))
	ws.Route(ws.PUT("/contracts/{workspace}").To(r.handleOperator(r.putContract)))
	ws.Route(ws.DELETE("/contracts/{workspace}").To(r.handleOperator(r.removeContract)))
	ws.Route(ws.GET("/catalog").To(r.handleOperator(r.getCatalog)))
	ws.Route(ws.PUT("/catalog").To(r.handleOperator(r.putCatalog)))
	ws.Route(ws.GET("/config/history").To(r.handleOperator(r.configHistory)))
	ws.Route(ws.GET("/config/status").To(r.handleOperator(r.configStatus)))
	ws.Route(ws.GET("/budgets/{budget}").To(r.handleOperator(r.showBudget)))
	ws.Route(ws.POST("/budgets/{budget}/top-ups").To(r.handleOperator(r.topUp)))
	ws.Route(ws.GET("/upstreams").To(r.handleOperator(r.listUpstreams)))
	ws.Route(ws.POST("/upstreams/{instance}/orders").To(r.handleOperator(r.sendOrder)))
	ws.Route(ws.GET("/requests/{request}").To(r.handleOperator(r.explain)))
	mux := r.newMux(ws)
	// Metrics contain the names of workspaces, so callers must not see them.
	mux.Handle("GET /debug/vars", r.metrics)
	return mux
}

// operatorRequest is the request of an authenticated operator.
type operatorRequest struct {
	http *http.Request
	to   http.ResponseWriter
	path func(name string) string
}

// changeID returns the idempotency key that the operator sent, or a new one if there is none.
func (o operatorRequest) changeID() string {
	if id := o.http.Header.Get(headerKey); id != "" {
		return id
	}
	return uuid.NewString()
}

// baseRevision returns the revision on which a change is based, from the If-Match header.
func (o operatorRequest) baseRevision() (masticway.Revision, error) {
	value := strings.Trim(o.http.Header.Get("If-Match"), `"`)
	if value == "*" {
		return configurer.AnyRevision, nil
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		return 0, refusal(http.StatusUnprocessableEntity, "if_match_required", `If-Match names the revision that the change is based on, 0 for a new one, or "*"`, 0)
	}
	return masticway.Revision(n), nil
}

// handleOperator returns a handler that checks the operators' token, calls f, and writes its result or error.
func (r *Router) handleOperator(f func(context.Context, operatorRequest) (any, error)) restful.RouteFunction {
	return func(request *restful.Request, response *restful.Response) {
		w := response.ResponseWriter
		if !authenticator.Equal(authenticator.BearerToken(request.Request), r.secrets.AdminToken) {
			writeRefusal(w, refusal(http.StatusUnauthorized, "bad_token", "the operators' token is missing or wrong", 0))
			return
		}
		ctx, cancel := context.WithTimeout(request.Request.Context(), operatorTimeout)
		defer cancel()
		out, err := f(ctx, operatorRequest{http: request.Request, to: w, path: request.PathParameter})
		if err != nil {
			writeOperatorError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	}
}

// writeOperatorError writes the status and the error body that correspond to the type of an error.
func writeOperatorError(w http.ResponseWriter, err error) {
	if e, ok := errors.AsType[*masticway.RefusalError](err); ok {
		writeRefusal(w, e)
		return
	}
	if conflict, ok := errors.AsType[*configurer.RevisionConflictError](err); ok {
		writeConflict(w, conflict)
		return
	}
	e := refusal(http.StatusInternalServerError, "internal", err.Error(), 0)
	if _, ok := errors.AsType[*masticway.NotFoundError](err); ok {
		e.Status, e.Code = http.StatusNotFound, "not_found"
	}
	if _, ok := errors.AsType[*validator.FaultsError](err); ok {
		e.Status, e.Code = http.StatusUnprocessableEntity, "invalid"
	}
	if _, ok := errors.AsType[*bookkeeper.AmountError](err); ok {
		e.Status, e.Code = http.StatusUnprocessableEntity, "bad_amount"
	}
	if _, ok := errors.AsType[*masticway.UnavailableError](err); ok {
		e.Status, e.Code, e.RetryAfter = http.StatusServiceUnavailable, "platform_unavailable", time.Second
	}
	if _, ok := errors.AsType[*masticway.OutcomeUnknownError](err); ok {
		e.Status, e.Code, e.Fate, e.RetryAfter = http.StatusGatewayTimeout, "outcome_unknown", masticway.FateUnknown, time.Second
	}
	writeRefusal(w, e)
}

func writeConflict(w http.ResponseWriter, e *configurer.RevisionConflictError) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(struct {
		Error struct {
			Code    string         `json:"code"`
			Message string         `json:"message"`
			Run     masticway.Fate `json:"run"`
		} `json:"error"`
		State    charter.State       `json:"state"`
		Revision masticway.Revision  `json:"revision"`
		Contract *masticway.Contract `json:"contract,omitempty"`
	}{
		Error: struct {
			Code    string         `json:"code"`
			Message string         `json:"message"`
			Run     masticway.Fate `json:"run"`
		}{"revision_conflict", e.Error(), masticway.FateNotRun},
		State: configurer.ChangeState(e, false), Revision: e.Current, Contract: e.Contract,
	})
}

func readOperatorBody(o operatorRequest) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(o.to, o.http.Body, maxOperatorBody))
	if err != nil {
		return nil, refusal(http.StatusRequestEntityTooLarge, "body_too_large", "the body is too large", 0)
	}
	return data, nil
}

// ContractAnswer is a contract and the revision of its last change.
type ContractAnswer struct {
	Revision masticway.Revision `json:"revision"`
	Contract masticway.Contract `json:"contract"`
}

// ContractsAnswer holds all contracts at a revision.
type ContractsAnswer struct {
	Revision  masticway.Revision   `json:"revision"`
	Contracts []masticway.Contract `json:"contracts"`
}

// ChangeAnswer describes an accepted change.
type ChangeAnswer struct {
	Revision masticway.Revision `json:"revision"`
	ID       string             `json:"id"`
	// State is the change's state in the change chart, the state machine of a change.
	State charter.State `json:"state"`
}

func (r *Router) listContracts(context.Context, operatorRequest) (any, error) {
	s := r.snapshot.Load()
	return ContractsAnswer{Revision: s.Revision(), Contracts: s.Contracts()}, nil
}

func (r *Router) getContract(ctx context.Context, o operatorRequest) (any, error) {
	c, revision, err := r.store.Contract(ctx, o.path("workspace"))
	if err != nil {
		return nil, err
	}
	o.to.Header().Set("ETag", strconv.Quote(strconv.FormatInt(int64(revision), 10)))
	return ContractAnswer{Revision: revision, Contract: c}, nil
}

func (r *Router) putContract(ctx context.Context, o operatorRequest) (any, error) {
	data, err := readOperatorBody(o)
	if err != nil {
		return nil, err
	}
	c, err := validator.Decode[masticway.Contract](validator.KindContract, data)
	if err != nil {
		return nil, err
	}
	if c.Workspace != o.path("workspace") {
		return nil, refusal(http.StatusUnprocessableEntity, "invalid", "the workspace in the path and in the body differ", 0)
	}
	return r.putChange(ctx, o, masticway.Change{Contract: &c})
}

func (r *Router) removeContract(ctx context.Context, o operatorRequest) (any, error) {
	return r.putChange(ctx, o, masticway.Change{Removed: o.path("workspace")})
}

func (r *Router) getCatalog(ctx context.Context, _ operatorRequest) (any, error) {
	c, revision, err := r.store.Catalog(ctx)
	return struct {
		Revision masticway.Revision `json:"revision"`
		Catalog  masticway.Catalog  `json:"catalog"`
	}{revision, c}, err
}

func (r *Router) putCatalog(ctx context.Context, o operatorRequest) (any, error) {
	data, err := readOperatorBody(o)
	if err != nil {
		return nil, err
	}
	c, err := validator.Decode[masticway.Catalog](validator.KindCatalog, data)
	if err != nil {
		return nil, err
	}
	return r.putChange(ctx, o, masticway.Change{Catalog: &c})
}

func (r *Router) putChange(ctx context.Context, o operatorRequest, c masticway.Change) (any, error) {
	base, err := o.baseRevision()
	if err != nil {
		return nil, err
	}
	c.ID = o.changeID()
	c.Operator = o.http.Header.Get("Masticway-Operator")
	accepted, err := r.store.Put(ctx, c, base)
	if err != nil {
		return nil, err
	}
	r.wg.Go(r.pollConfig)
	return ChangeAnswer{Revision: accepted.Revision, ID: accepted.ID, State: configurer.ChangeState(nil, false)}, nil
}

func (r *Router) configHistory(ctx context.Context, _ operatorRequest) (any, error) {
	head, err := r.store.Head(ctx)
	if err != nil {
		return nil, err
	}
	changes, err := r.store.Changes(ctx, max(1, head-maxHistory+1), head)
	return struct {
		Changes []masticway.Change `json:"changes"`
	}{changes}, err
}

// ConfigStatus reports which incarnations have applied the newest revision.
type ConfigStatus struct {
	Head masticway.Revision `json:"head"`
	// InForce is set if every incarnation with a lease row has applied Head, the newest revision. Behind holds the incarnations
	// that have not.
	InForce bool `json:"in_force"`
	// State is the state of the newest change in the change chart, the state machine of a change.
	State  charter.State            `json:"state"`
	Leases []bookkeeper.RouterLease `json:"daemons"`
	Behind []string                 `json:"behind,omitempty"`
}

func (r *Router) configStatus(ctx context.Context, _ operatorRequest) (any, error) {
	head, err := r.store.Head(ctx)
	if err != nil {
		return nil, err
	}
	leases, err := r.book.Leases(ctx)
	if err != nil {
		return nil, err
	}
	status := ConfigStatus{Head: head, Leases: leases}
	for _, d := range leases {
		if d.AppliedRevision < head {
			status.Behind = append(status.Behind, string(d.Incarnation))
		}
	}
	status.InForce = len(status.Behind) == 0
	status.State = configurer.ChangeState(nil, status.InForce)
	return status, nil
}

func (r *Router) listUpstreams(context.Context, operatorRequest) (any, error) {
	type entry struct {
		Instance    string                `json:"instance"`
		Incarnation masticway.Incarnation `json:"incarnation"`
		State       string                `json:"state"`
		Zone        string                `json:"zone"`
		InFlight    int                   `json:"in_flight"`
		Pools       []string              `json:"pools"`
	}
	u := r.upstreams
	u.mu.Lock()
	defer u.mu.Unlock()
	list := []entry{}
	for _, t := range u.tracker.All() {
		own, _ := u.chooser.InFlight(t.Instance.ID)
		list = append(list, entry{t.Instance.ID, t.Incarnation, string(t.State), t.Instance.Zone, own, tracker.Pools(t.Instance)})
	}
	return struct {
		Upstreams []entry `json:"upstreams"`
	}{list}, nil
}

func (r *Router) sendOrder(ctx context.Context, o operatorRequest) (any, error) {
	data, err := readOperatorBody(o)
	if err != nil {
		return nil, err
	}
	var order masticway.Order
	if err := json.Unmarshal(data, &order); err != nil || order.Action == "" {
		return nil, refusal(http.StatusBadRequest, "malformed_json", "the body holds action and target", 0)
	}
	instance := o.path("instance")
	conn := r.upstreams.conn(instance)
	if conn == nil {
		return nil, refusal(http.StatusServiceUnavailable, "no_upstream", "the upstream's sidecar cannot be reached", time.Second)
	}
	numberedOrder, err := r.book.AssignFence(ctx, instance, o.changeID(), order)
	if err != nil {
		return nil, err
	}
	answer, err := conn.Call(ctx, linker.Message{Order: &numberedOrder})
	if err != nil || answer.OrderReply == nil {
		return nil, &masticway.OutcomeUnknownError{Service: "sidecar", ID: instance, Reason: "no answer to the order"}
	}
	if !answer.OrderReply.Done {
		return nil, refusal(http.StatusConflict, "order_refused", answer.OrderReply.Reason, 0)
	}
	return numberedOrder, nil
}

// explain returns a request's trace from this router, a peer or the object store.
func (r *Router) explain(ctx context.Context, o operatorRequest) (any, error) {
	id := o.path("request")
	if t, ok := r.traces.Get(id); ok {
		return t, nil
	}
	for _, c := range r.peers.allConns() {
		a, err := c.Call(ctx, linker.Message{Explain: &linker.Explain{Request: id}})
		if err == nil && a.Explained != nil && len(a.Explained.Trace) > 0 {
			return json.RawMessage(a.Explained.Trace), nil
		}
	}
	return explainer.FindTrace(ctx, r.platform.Objects, id)
}
