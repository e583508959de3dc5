package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/authenticator"
	"github.com/masticway/masticway/configurer"
	"github.com/masticway/masticway/explainer"
)

// Headers of the API for callers.
const (
	headerKey           = "Idempotency-Key"
	headerRequest       = "Masticway-Request-Id"
	headerClass         = "Masticway-Class"
	headerNonRepeatable = "Masticway-Non-Repeatable"
	// maxKeyBytes is the maximum size of a caller's idempotency key in bytes.
	maxKeyBytes = 200
)

// CallerHandler returns the HTTP handler for the requests of callers.
func (r *Router) CallerHandler() http.Handler {
	ws := new(restful.WebService).Path("/v1").Consumes("*/*").Produces("*/*")
	ws.Route(ws.POST("/chat/completions").To(r.handleCaller(r.chat)))
	ws.Route(ws.GET("/models").To(r.handleCaller(r.models)))
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		ws.Route(ws.Method(method).Path("/services/{service}/{path:*}").To(r.handleCaller(r.callService)))
	}
	return r.newMux(ws)
}

// newRequestID returns a new request ID. It contains the identifier of this incarnation.
func (r *Router) newRequestID() string {
	return explainer.RequestID(r.self, strconv.FormatUint(r.lastRequestNumber.Add(1), 36))
}

// newMux returns a mux that serves ws and the endpoints for health and readiness.
func (r *Router) newMux(ws *restful.WebService) *http.ServeMux {
	container := restful.NewContainer()
	container.Add(ws)
	container.ServiceErrorHandler(func(e restful.ServiceError, _ *restful.Request, response *restful.Response) {
		response.ResponseWriter.Header().Set(headerRequest, r.newRequestID())
		writeRefusal(response.ResponseWriter, &masticway.RefusalError{
			Status: e.Code, Code: "no_such_path", Message: e.Message, Fate: masticway.FateNotRun,
		})
	})
	mux := http.NewServeMux()
	mux.Handle("/v1/", container)
	mux.Handle("/admin/", container)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// callerRequest is the HTTP request of an authenticated caller.
type callerRequest struct {
	http     *http.Request
	to       http.ResponseWriter
	config   configurer.Snapshot
	contract masticway.Contract
	id       string
	path     func(name string) string
}

// handleCaller returns a handler that authenticates a request, calls f with it, and writes the error body if either fails.
func (r *Router) handleCaller(f func(context.Context, callerRequest) error) restful.RouteFunction {
	return func(request *restful.Request, response *restful.Response) {
		// The request is counted before the check whether this router is draining, so that a drain waits for it.
		r.openRequests.Add(1)
		defer r.openRequests.Add(-1)
		id := r.newRequestID()
		response.ResponseWriter.Header().Set(headerRequest, id)
		err := r.authenticate(request, response, id, f)
		if err == nil {
			return
		}
		refused, ok := errors.AsType[*masticway.RefusalError](err)
		if !ok {
			refused = &masticway.RefusalError{Status: http.StatusInternalServerError, Code: "internal", Message: err.Error(), Fate: masticway.FateUnknown}
		}
		writeRefusal(response.ResponseWriter, refused)
	}
}

// authenticate calls f and returns its error. If the router is not ready, or the request's access key is missing or unknown, it
// returns a refusal instead.
func (r *Router) authenticate(request *restful.Request, response *restful.Response, id string, f func(context.Context, callerRequest) error) error {
	if !r.Ready() {
		return refusal(http.StatusServiceUnavailable, "not_serving", "this router is starting or leaving", time.Second)
	}
	config := *r.snapshot.Load()
	key := authenticator.BearerToken(request.Request)
	contract, ok := config.ContractByKeyHash(authenticator.HashKey(key))
	if key == "" || !ok {
		return refusal(http.StatusUnauthorized, "bad_key", "the key is missing or unknown", 0)
	}
	return f(request.Request.Context(), callerRequest{
		http: request.Request, to: response.ResponseWriter, config: config, contract: contract, id: id,
		path: request.PathParameter,
	})
}

// writeRefusal writes a refusal with the error body that all refusals share.
func writeRefusal(w http.ResponseWriter, e *masticway.RefusalError) {
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	// The body consists of texts and numbers, which can be encoded.
	data, _ := json.Marshal(errorBody(e))
	writeBody(w, e.Status, string(data)+"\n")
}

// writeBody writes a status and a whole body with its length, without which a caller of HTTP/1.0 cannot tell whether the body is
// whole. Write errors are ignored: the caller notices the broken connection.
func writeBody(to http.ResponseWriter, status int, body string) {
	if status != http.StatusNoContent && status != http.StatusNotModified {
		to.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	to.WriteHeader(status)
	_, _ = io.WriteString(to, body)
}

func errorBody(e *masticway.RefusalError) any {
	type detail struct {
		Code       string         `json:"code"`
		Message    string         `json:"message"`
		Run        masticway.Fate `json:"run"`
		RetryAfter int64          `json:"retry_after_ms"`
	}
	return struct {
		Error detail `json:"error"`
	}{detail{e.Code, e.Message, e.Fate, e.RetryAfter.Milliseconds()}}
}

// readBody reads the whole body. It returns a refusal if the body exceeds the configured limit or cannot be read.
func (r *Router) readBody(c callerRequest) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(c.to, c.http.Body, r.settings.BodyLimit))
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return nil, refusal(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body is over %d bytes", r.settings.BodyLimit), 0)
	}
	if err != nil {
		return nil, refusal(http.StatusBadRequest, "body_unreadable", "the body could not be read", 0)
	}
	return data, nil
}

// newRequest returns a request with the fields that chat and service requests have in common, such as the identity, the class and
// the contract. It returns a refusal if the headers are invalid.
func (r *Router) newRequest(c callerRequest) (request, error) {
	q := request{id: c.id, contract: c.contract, revision: c.config.Revision(), receivedAt: r.clock.Now(), class: c.contract.Class}
	key := c.http.Header.Get(headerKey)
	q.hasCallerKey = key != ""
	switch {
	case !utf8.ValidString(key):
		// The store would not tell it from other such keys.
		return q, refusal(http.StatusUnprocessableEntity, "bad_idempotency_key", "the key is no UTF-8", 0)
	case len(key) > maxKeyBytes || strings.ContainsAny(key, "\r\n/"):
		return q, refusal(http.StatusUnprocessableEntity, "bad_idempotency_key", "the key is too long or holds a slash", 0)
	case key == "" && c.contract.RequireIdempotencyKey:
		return q, refusal(http.StatusUnprocessableEntity, "idempotency_key_required", "the contract requires an Idempotency-Key", 0)
	case key == "":
		key = uuid.NewString()
	}
	q.identity = masticway.NewIdentity(c.contract.Workspace, key)
	if class := masticway.Class(c.http.Header.Get(headerClass)); class != "" {
		q.class = class
	}
	if q.class == "" {
		q.class = masticway.ClassInteractive
	}
	if q.class != masticway.ClassInteractive && q.class != masticway.ClassBatch {
		return q, refusal(http.StatusUnprocessableEntity, "bad_class", "the class is interactive or batch", 0)
	}
	q.nonRepeatable = c.http.Header.Get(headerNonRepeatable) == "true"
	q.call.Priority = c.contract.Priority
	return q, nil
}

type chatBody struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
}

// chat serves POST /v1/chat/completions.
func (r *Router) chat(ctx context.Context, c callerRequest) error {
	data, err := r.readBody(c)
	if err != nil {
		return err
	}
	q, stream, err := r.parseChatRequest(c, data)
	if err != nil {
		return err
	}
	w := newChatWriter(c.to, q, stream)
	out, err := r.newExchange(ctx, q, w).run(context.WithoutCancel(ctx))
	return w.finish(out, err)
}

// parseChatRequest turns a caller's body into a request and reports whether the answer is streamed. Its error is a RefusalError.
func (r *Router) parseChatRequest(c callerRequest, data []byte) (request, bool, error) {
	q, err := r.newRequest(c)
	if err != nil {
		return q, false, err
	}
	body, messages, err := ParseChat(data)
	if err != nil {
		return q, false, err
	}
	model, ok := c.config.Catalog().Model(body.Model)
	if !ok {
		return q, false, refusal(http.StatusNotFound, "unknown_model", "the model is not served", 0)
	}
	terms, ok := c.contract.Model(body.Model)
	if !ok || (terms.Version != "" && terms.Version != model.Version) {
		return q, false, refusal(http.StatusForbidden, "model_not_allowed", "the contract does not allow the model", 0)
	}
	q.model = model
	q.call.Model = model.Name
	q.call.Prompt = body.Messages
	q.maxPromptTokens = len(body.Messages) + messageOverhead*messages
	q.call.MaxOutput = defaultMaxOutput
	if terms.MaxOutput > 0 {
		q.call.MaxOutput = terms.MaxOutput
	}
	q.minOutput = defaultMinOutput
	if terms.MinOutput > 0 {
		q.minOutput = terms.MinOutput
	}
	for _, named := range []*int{body.MaxTokens, body.MaxCompletionTokens} {
		if named != nil {
			q.hasMaxOutput = true
			q.call.MaxOutput = min(q.call.MaxOutput, *named)
		}
	}
	return q, body.Stream, nil
}

// maxTokensLimit is the maximum output in tokens that a caller may request.
const maxTokensLimit = 10_000_000

// ParseChat parses a chat body and counts its messages. Its error is a RefusalError.
func ParseChat(data []byte) (body chatBody, messages int, err error) {
	if err := json.Unmarshal(data, &body); err != nil {
		return body, 0, refusal(http.StatusBadRequest, "malformed_json", "the body is not the expected JSON", 0)
	}
	var list []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(body.Messages, &list); err != nil || len(list) == 0 {
		return body, 0, refusal(http.StatusUnprocessableEntity, "bad_messages", "messages must be a list that is not empty", 0)
	}
	for _, m := range list {
		if m.Role == "" || len(m.Content) == 0 {
			return body, 0, refusal(http.StatusUnprocessableEntity, "bad_messages", "each message needs role and content", 0)
		}
	}
	for _, named := range []*int{body.MaxTokens, body.MaxCompletionTokens} {
		if named != nil && (*named < 1 || *named > maxTokensLimit) {
			return body, 0, refusal(http.StatusUnprocessableEntity, "bad_max_tokens", fmt.Sprintf("the maximum is from 1 to %d", maxTokensLimit), 0)
		}
	}
	return body, len(list), nil
}

// models serves GET /v1/models.
func (r *Router) models(_ context.Context, c callerRequest) error {
	type entry struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := []entry{}
	for _, m := range c.contract.Models {
		if _, ok := c.config.Catalog().Model(m.Name); ok {
			list = append(list, entry{m.Name, "model"})
		}
	}
	c.to.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(c.to).Encode(struct {
		Object string  `json:"object"`
		Data   []entry `json:"data"`
	}{"list", list})
}

// callService serves requests to /v1/services/{service}/{path}.
func (r *Router) callService(ctx context.Context, c callerRequest) error {
	data, err := r.readBody(c)
	if err != nil {
		return err
	}
	q, err := r.newRequest(c)
	if err != nil {
		return err
	}
	name := c.path("service")
	service, ok := c.config.Catalog().Service(name)
	if !ok {
		return refusal(http.StatusNotFound, "unknown_service", "the service is not served", 0)
	}
	terms, ok := c.contract.Service(name)
	if !ok {
		return refusal(http.StatusForbidden, "service_not_allowed", "the contract does not allow the service", 0)
	}
	path := "/" + c.path("path")
	q.nonRepeatable = q.nonRepeatable || terms.IsNonRepeatable(c.http.Method, path)
	q.service = service
	q.call.Service = name
	q.call.Method = c.http.Method
	q.call.Path = path
	if query := c.http.URL.RawQuery; query != "" {
		q.call.Path += "?" + query
	}
	q.call.ContentType = c.http.Header.Get("Content-Type")
	q.call.Body = data
	w := &bufferedWriter{}
	out, err := r.newExchange(ctx, q, w).run(context.WithoutCancel(ctx))
	if err != nil {
		return err
	}
	writeOutcome(c.to, out.outcome, w.text.String())
	return nil
}

// writeOutcome writes the answer of a service.
func writeOutcome(to http.ResponseWriter, o masticway.Outcome, text string) {
	if kind, _, err := mime.ParseMediaType(o.ContentType); err == nil && kind != "" {
		to.Header().Set("Content-Type", o.ContentType)
	}
	writeBody(to, o.Status, text)
}
