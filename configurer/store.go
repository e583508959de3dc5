package configurer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/charter"
)

// Table keys of the configuration.
const (
	keyHead        = "config/head"
	keyCatalog     = "config/catalog"
	prefixChange   = "config/change/"
	prefixContract = "config/contract/"
	prefixID       = "config/id/"
)

// maxAttempts is the maximum number of attempts at one change. An attempt is repeated if another change was committed first or if
// its outcome is unknown.
const maxAttempts = 20

// Store reads and changes the configuration in the table.
type Store struct {
	table masticway.Table
}

// NewStore returns a store that uses the platform's table.
func NewStore(t masticway.Table) *Store { return &Store{table: t} }

// head is the content of the row keyHead: the newest accepted revision.
type head struct {
	Revision masticway.Revision `json:"revision"`
}

// stored is a contract or the catalog, with the revision of its last change.
type stored[T any] struct {
	Revision masticway.Revision `json:"revision"`
	Value    T                  `json:"value"`
}

// RevisionConflictError reports that the revision on which a change is based is not that of the last change of its contract or of
// the catalog.
type RevisionConflictError struct {
	Expected masticway.Revision
	Current  masticway.Revision
	// Contract is the current contract if the change is to a contract that exists.
	Contract *masticway.Contract
}

// Error returns a message with both revisions.
func (e *RevisionConflictError) Error() string {
	return fmt.Sprintf("based on revision %d, but revision %d stands", e.Expected, e.Current)
}

func changeKey(r masticway.Revision) string { return fmt.Sprintf("%s%020d", prefixChange, r) }

func read[T any](ctx context.Context, t masticway.Table, key string) (T, int64, error) {
	var v T
	row, err := t.Get(ctx, key)
	if err != nil || row.Version == 0 {
		return v, 0, err
	}
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, 0, fmt.Errorf("decoding row %s: %w", key, err)
	}
	return v, row.Version, nil
}

var changeChart = charter.MustLoad(charter.Change)

// Events of the change state chart.
const (
	eventCommitted         charter.Event = "committed"
	eventConflicted        charter.Event = "conflicted"
	eventUnknown           charter.Event = "outcome_unknown"
	eventAppliedEverywhere charter.Event = "everywhere"
)

// ChangeState returns the state of a change in its state chart (charter.Change). err is the error of Put, and appliedEverywhere
// is set if all daemons apply the change. The caller must check that err is nil, a RevisionConflictError or an
// OutcomeUnknownError: any other error counts as success.
func ChangeState(err error, appliedEverywhere bool) charter.State {
	event := eventCommitted
	if _, ok := errors.AsType[*RevisionConflictError](err); ok {
		event = eventConflicted
	}
	if _, ok := errors.AsType[*masticway.OutcomeUnknownError](err); ok {
		event = eventUnknown
	}
	state, stepErr := changeChart.Next(changeChart.Initial(), event)
	if stepErr != nil || event != eventCommitted || !appliedEverywhere {
		return state
	}
	if next, err := changeChart.Next(state, eventAppliedEverywhere); err == nil {
		return next
	}
	return state
}

// Head returns the newest accepted revision.
func (s *Store) Head(ctx context.Context) (masticway.Revision, error) {
	h, _, err := read[head](ctx, s.table, keyHead)
	return h.Revision, err
}

// AnyRevision is a base revision with which Put skips the check whether the contract or catalog has changed.
const AnyRevision masticway.Revision = -1

// Put commits a change of a contract or of the catalog, unless that contract, or the catalog, has changed since revision base. A
// change ID is accepted only once. If a change with the ID of c has already been accepted, Put returns the accepted change.
//
// Put fails with RevisionConflictError if base is not the revision of the last change of the contract or catalog. It fails with
// UnavailableError if the table is unavailable, and with OutcomeUnknownError if the table's answer was lost and the outcome
// cannot be read back. After maxAttempts attempts it fails with the error of the last one.
func (s *Store) Put(ctx context.Context, c masticway.Change, base masticway.Revision) (masticway.Change, error) {
	var lastErr error
	for range maxAttempts {
		alreadyAccepted, tx, next, err := s.prepareTransaction(ctx, c, base)
		if err != nil {
			return c, readBackError(lastErr, err, c.ID)
		}
		if alreadyAccepted {
			return next, nil
		}
		lastErr = s.table.Commit(ctx, tx)
		if lastErr == nil {
			return next, nil
		}
		if _, ok := errors.AsType[*masticway.UnavailableError](lastErr); ok {
			return c, lastErr
		}
		if err := ctx.Err(); err != nil {
			return c, readBackError(lastErr, err, c.ID)
		}
	}
	return c, fmt.Errorf("changing the configuration, %d tries: %w", maxAttempts, lastErr)
}

// readBackError returns the error with which Put fails after err. commitErr is the error of the last commit, or nil. If the
// outcome of that commit is unknown, so is the outcome of Put.
func readBackError(commitErr, err error, id string) error {
	if _, ok := errors.AsType[*masticway.OutcomeUnknownError](commitErr); ok {
		return &masticway.OutcomeUnknownError{Service: "table", ID: id, Reason: err.Error()}
	}
	return err
}

// prepareTransaction returns the transaction that commits a change, and the change with its revision. If a change with the same
// ID has already been accepted, it returns the accepted change and no transaction.
func (s *Store) prepareTransaction(ctx context.Context, c masticway.Change, base masticway.Revision) (alreadyAccepted bool, tx masticway.Transaction, next masticway.Change, err error) {
	idKey := prefixID + c.ID
	accepted, idVersion, err := read[masticway.Change](ctx, s.table, idKey)
	if err != nil {
		return false, tx, c, err
	}
	if idVersion != 0 {
		return true, tx, accepted, nil
	}
	h, headVersion, err := read[head](ctx, s.table, keyHead)
	if err != nil {
		return false, tx, c, err
	}
	c.Revision = h.Revision + 1
	subject, value, err := s.subjectRow(ctx, c, base)
	if err != nil {
		return false, tx, c, err
	}
	tx = masticway.Transaction{
		ID:         "config/" + c.ID,
		Conditions: []masticway.Condition{{Key: keyHead, Version: headVersion}, {Key: idKey}},
		Puts: []masticway.Put{
			{Key: keyHead, Value: encode(head{Revision: c.Revision})},
			{Key: changeKey(c.Revision), Value: encode(c)},
			{Key: idKey, Value: encode(c)},
			{Key: subject, Value: value},
		},
	}
	return false, tx, c, nil
}

// subjectRow returns the key and the new value of the row that a change replaces. It fails with RevisionConflictError if base is
// not the revision of the last change of that row.
func (s *Store) subjectRow(ctx context.Context, c masticway.Change, base masticway.Revision) (string, []byte, error) {
	if c.Catalog != nil {
		current, _, err := read[stored[masticway.Catalog]](ctx, s.table, keyCatalog)
		if err != nil {
			return "", nil, err
		}
		if base != AnyRevision && base != current.Revision {
			return "", nil, &RevisionConflictError{Expected: base, Current: current.Revision}
		}
		return keyCatalog, encode(stored[masticway.Catalog]{Revision: c.Revision, Value: *c.Catalog}), nil
	}
	workspace := c.Removed
	if c.Contract != nil {
		workspace = c.Contract.Workspace
	}
	current, version, err := read[stored[masticway.Contract]](ctx, s.table, prefixContract+workspace)
	if err != nil {
		return "", nil, err
	}
	if base != AnyRevision && base != current.Revision {
		conflict := &RevisionConflictError{Expected: base, Current: current.Revision}
		if version != 0 {
			conflict.Contract = &current.Value
		}
		return "", nil, conflict
	}
	if c.Contract == nil {
		return prefixContract + workspace, nil, nil
	}
	return prefixContract + workspace, encode(stored[masticway.Contract]{Revision: c.Revision, Value: *c.Contract}), nil
}

// Contract reads a contract and the revision of its last change.
func (s *Store) Contract(ctx context.Context, workspace string) (masticway.Contract, masticway.Revision, error) {
	c, version, err := read[stored[masticway.Contract]](ctx, s.table, prefixContract+workspace)
	if err != nil {
		return masticway.Contract{}, 0, err
	}
	if version == 0 {
		return masticway.Contract{}, 0, &masticway.NotFoundError{Kind: "contract", Name: workspace}
	}
	return c.Value, c.Revision, nil
}

// Catalog reads the catalog and the revision of its last change.
func (s *Store) Catalog(ctx context.Context) (masticway.Catalog, masticway.Revision, error) {
	c, _, err := read[stored[masticway.Catalog]](ctx, s.table, keyCatalog)
	return c.Value, c.Revision, err
}

// Configuration reads the complete configuration. It reads the newest accepted revision first. The result has this revision and
// contains all changes up to it, and may contain later ones.
func (s *Store) Configuration(ctx context.Context) (Configuration, error) {
	revision, err := s.Head(ctx)
	if err != nil {
		return Configuration{}, fmt.Errorf("reading the head revision: %w", err)
	}
	catalog, _, err := s.Catalog(ctx)
	if err != nil {
		return Configuration{}, fmt.Errorf("reading the catalog: %w", err)
	}
	rows, err := s.table.Scan(ctx, prefixContract)
	if err != nil {
		return Configuration{}, fmt.Errorf("reading contracts: %w", err)
	}
	f := Configuration{Revision: revision, Catalog: catalog}
	for _, r := range rows {
		var c stored[masticway.Contract]
		if err := json.Unmarshal(r.Value, &c); err != nil {
			return Configuration{}, fmt.Errorf("decoding row %s: %w", r.Key, err)
		}
		f.Contracts = append(f.Contracts, c.Value)
	}
	return f, nil
}

// Change reads one accepted change.
func (s *Store) Change(ctx context.Context, r masticway.Revision) (masticway.Change, error) {
	c, version, err := read[masticway.Change](ctx, s.table, changeKey(r))
	if err == nil && version == 0 {
		err = &masticway.NotFoundError{Kind: "change", Name: changeKey(r)}
	}
	return c, err
}

// Changes reads the accepted changes with revisions in the range [from, to]. If one cannot be read, it returns the changes with
// lower revisions and an error.
func (s *Store) Changes(ctx context.Context, from, to masticway.Revision) ([]masticway.Change, error) {
	var changes []masticway.Change
	for r := from; r <= to; r++ {
		c, err := s.Change(ctx, r)
		if err != nil {
			return changes, fmt.Errorf("reading change %d: %w", r, err)
		}
		changes = append(changes, c)
	}
	return changes, nil
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// Every type that is stored can be encoded as JSON.
		panic(err)
	}
	return data
}
