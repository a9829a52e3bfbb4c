package operator

import (
	"context"
	"encoding/json"
	"time"

	"redwinghall"
	"redwinghall/kernel"
	"redwinghall/tablehttp"
)

// Submission identifies a change that an operator requests. A submission that is
// sent again with the same SubmitID is accepted at most once.
type Submission struct {
	SubmitID string `json:"submit_id"`
	// Replaces is the generation, or the zone's number, that the change is based
	// on. Zero means that there was none.
	Replaces uint64 `json:"replaces"`
}

// Accepted is the response to an accepted submission.
type Accepted struct {
	Code   redwinghall.Code `json:"code"`
	Number uint64           `json:"number"` // the generation or zone number now in force
	Hash   string           `json:"hash,omitempty"`
}

// Acceptor records accepted submissions in the platform's table.
type Acceptor struct {
	table redwinghall.Table
	// MaxAttempts limits how often a submission is attempted while the table fails.
	MaxAttempts int
	// RetryInterval is the time between these attempts.
	RetryInterval time.Duration
}

// Defaults of the acceptor.
const (
	defaultMaxAttempts   = 4
	defaultRetryInterval = 100 * time.Millisecond
)

// NewAcceptor returns an acceptor with the default retry settings.
func NewAcceptor(table redwinghall.Table) *Acceptor {
	return &Acceptor{table: table, MaxAttempts: defaultMaxAttempts, RetryInterval: defaultRetryInterval}
}

// change applies a submission to the head row. It returns the generation or zone
// number that will be in force, or the code of a refusal.
type change func(head tablehttp.Head) (next tablehttp.Head, number uint64, extra []redwinghall.Write, refused redwinghall.Code)

// SubmitManifest accepts the manifest if the generation in force is still the one
// that the submission replaces.
func (a *Acceptor) SubmitManifest(ctx context.Context, sub Submission, m redwinghall.Manifest) (Accepted, error) {
	data, hash, err := m.Canonical()
	if err != nil {
		return Accepted{}, redwinghall.NewOpError("Acceptor.SubmitManifest", redwinghall.CodeManifestInvalid, err)
	}
	accepted, err := a.decide(ctx, sub, func(head tablehttp.Head) (tablehttp.Head, uint64, []redwinghall.Write, redwinghall.Code) {
		if head.Generation != sub.Replaces {
			return head, 0, nil, redwinghall.CodeManifestRace
		}
		head.Generation++
		head.Hash = hash
		head.SubmitID = sub.SubmitID
		content := redwinghall.Write{Key: tablehttp.KeyContent(hash), Value: data}
		return head, head.Generation, []redwinghall.Write{content}, ""
	})
	accepted.Hash = hash
	return accepted, err
}

// SetZone takes a zone out of service or puts it back into service, if the zone's
// number is still the one that the submission replaces.
func (a *Acceptor) SetZone(ctx context.Context, sub Submission, zone string, state redwinghall.ZoneState) (Accepted, error) {
	return a.decide(ctx, sub, func(head tablehttp.Head) (tablehttp.Head, uint64, []redwinghall.Write, redwinghall.Code) {
		present := head.Zones[zone]
		if present.Number != sub.Replaces {
			return head, 0, nil, redwinghall.CodeZoneRace
		}
		next := redwinghall.AvailabilityZone{ID: zone, State: state, Number: present.Number + 1}
		return head.WithZone(next), next.Number, nil, ""
	})
}

// record is the value of the row of an accepted submission, which is keyed by
// the submit id.
type record struct {
	Number uint64 `json:"number"`
}

// decide carries out a submission in one transaction.
//
// When the table's response is lost, the change may have been recorded or may be
// recorded later. Submitting again without a check would find a newer head and
// report a race that the operator lost against its own submission; reporting a
// failure could leave a manifest in force that the operator considers refused.
// The transaction therefore also writes a row keyed by the submit id, which must
// not exist yet. Reading that row back shows whether the transaction was carried
// out, and a retry of it can take effect only once.
func (a *Acceptor) decide(ctx context.Context, sub Submission, apply change) (Accepted, error) {
	const op = "Acceptor.decide"
	maySucceedLate := false
	var last error
	for attempt := range a.MaxAttempts {
		if attempt > 0 && !kernel.Sleep(ctx, a.RetryInterval) {
			break
		}
		rows, err := a.table.Read(ctx, tablehttp.KeySubmission(sub.SubmitID), tablehttp.KeyHead)
		if err != nil {
			last = err
			continue
		}
		if rows[0].Version != 0 {
			return recorded(op, rows[0])
		}
		head, err := tablehttp.ParseHead(rows[1])
		if err != nil {
			return Accepted{}, redwinghall.NewOpError(op, redwinghall.CodeTableUnavailable, err)
		}
		next, number, extra, refused := apply(head)
		if refused != "" {
			// The refusal is final even after a lost response: the head has changed
			// without the submission's row, and the earlier transaction is conditional
			// on the old head, so it can no longer take effect.
			return Accepted{}, redwinghall.NewOpError(op, refused, nil)
		}
		err = a.commit(ctx, sub, rows[1].Version, next, number, extra)
		switch redwinghall.KindOf[redwinghall.TableKind](err) {
		case "":
			return Accepted{Code: redwinghall.CodeAccepted, Number: number}, nil
		case redwinghall.TableUnknown:
			maySucceedLate = true
		}
		last = err
	}
	if maySucceedLate {
		return Accepted{}, redwinghall.NewOpError(op, redwinghall.CodeResultUnknown, last)
	}
	return Accepted{}, redwinghall.NewOpError(op, redwinghall.CodeTableUnavailable, last)
}

func (a *Acceptor) commit(ctx context.Context, sub Submission, headVersion int64, next tablehttp.Head, number uint64, extra []redwinghall.Write) error {
	writes := []redwinghall.Write{
		{Key: tablehttp.KeyHead, Expect: headVersion, Value: redwinghall.RowValue(next)},
		{Key: tablehttp.KeySubmission(sub.SubmitID), Value: redwinghall.RowValue(record{Number: number})},
	}
	extra, err := a.omitExisting(ctx, extra)
	if err != nil {
		return err
	}
	return a.table.Commit(ctx, redwinghall.Txn{Writes: append(writes, extra...)})
}

// omitExisting removes the writes of content rows that exist already. Such a row is
// keyed by the hash of its content, so the same manifest is stored only once.
func (a *Acceptor) omitExisting(ctx context.Context, writes []redwinghall.Write) ([]redwinghall.Write, error) {
	var out []redwinghall.Write
	for _, w := range writes {
		rows, err := a.table.Read(ctx, w.Key)
		if err != nil {
			return nil, err
		}
		if rows[0].Version == 0 {
			out = append(out, w)
		}
	}
	return out, nil
}

// recorded returns the result of a submission that was accepted earlier.
func recorded(op string, row redwinghall.Row) (Accepted, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Accepted{}, redwinghall.NewOpError(op, redwinghall.CodeResultUnknown, err)
	}
	return Accepted{Code: redwinghall.CodeAccepted, Number: r.Number}, nil
}
