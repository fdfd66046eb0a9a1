package informer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/sequencer"
	"jackdawcart.org/entry/informer/informerpb"
	"jackdawcart.org/platform/storer"
)

// RecordSnapshot records everything in the store, wherever this VM has it from.
func (s *Server) RecordSnapshot(listing storer.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content.replace(listing)
}

// RecordChanges records the changes after what was recorded before.
func (s *Server) RecordChanges(listing storer.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content.apply(listing)
}

// reservePiece waits until a piece may be sent, and returns false if that takes too long.
// The pieces that are encoded at once are bounded, as all VMs of the domain may ask together.
func (s *Server) reservePiece(ctx context.Context) bool {
	wait := s.timers.After(s.config.Wait)
	defer wait.Stop()
	select {
	case s.pieces <- struct{}{}:
		return true
	case <-wait.C:
	case <-ctx.Done():
	}
	return false
}

// answerPiece answers a request for a piece, and returns what is to be called once the
// answer is sent.
func (s *Server) answerPiece(ctx context.Context, request *informerpb.Request) (answer *informerpb.Answer, sent func()) {
	if !s.reservePiece(ctx) {
		return &informerpb.Answer{State: informerpb.State_STATE_NOT_READING}, func() {}
	}
	return s.currentPiece(request.GetSnapshotAfter()), func() { <-s.pieces }
}

func (s *Server) currentPiece(after string) *informerpb.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The changes after the piece must be available, or it can't be followed.
	if !s.content.complete || s.currentAnswer(s.content.position).GetState() != informerpb.State_STATE_READING {
		return &informerpb.Answer{State: informerpb.State_STATE_NOT_READING}
	}
	items, more := s.content.piece(after, s.config.MaxPieceBytes)
	return &informerpb.Answer{
		State: informerpb.State_STATE_READING, Revision: s.content.position.Revision, Snapshot: true, HasMore: more, Items: toItems(items),
		// A later era may become known before the answer is sent; the items do not belong to it.
		Era: s.content.position.Era,
	}
}

// fetch reads the whole content of the store from a VM that no longer has the changes after
// a position. The pieces may be of different ages; changes are followed from the oldest.
func (c *Client) fetch(ctx context.Context, m registrar.Member, after sequencer.Position) (storer.Listing, error) {
	listing := storer.Listing{Snapshot: true}
	size := 0
	for key, first := "", true; ; first = false {
		if err := c.connect(ctx, m); err != nil {
			return storer.Listing{}, &Error{Op: "dial", Kind: KindUnreachable, Err: err}
		}
		answer, err := c.exchange(ctx, &informerpb.Request{After: after.Revision, Era: after.Era, Snapshot: true, SnapshotAfter: key})
		if err != nil {
			return storer.Listing{}, err
		}
		if !answer.GetSnapshot() {
			// The VM can't be followed, or is of a version without snapshots.
			return storer.Listing{}, &Error{Op: "fetch", Kind: KindHistoryLost}
		}
		c.eras.ObserveEra(answer.GetEra())
		position := sequencer.Position{Era: answer.GetEra(), Revision: answer.GetRevision()}
		if first || listing.Position.After(position) {
			listing.Position = position
		}
		if position.Era != listing.Position.Era || after.After(position) {
			return storer.Listing{}, &Error{Op: "fetch", Kind: KindHistoryLost, Err: fmt.Errorf("piece at %v after %v", position, after)}
		}
		items := fromItems(answer.GetItems())
		for _, item := range items {
			size += sizeOf(item)
			if item.Key <= key {
				return storer.Listing{}, &Error{Op: "fetch", Kind: KindUnanswered, Err: errors.New("keys are out of order")}
			}
			key = item.Key
		}
		listing.Items = append(listing.Items, items...)
		switch {
		case !answer.GetHasMore():
			return listing, nil
		case size > c.config.MaxContentBytes || len(items) == 0:
			return storer.Listing{}, &Error{Op: "fetch", Kind: KindUnanswered, Err: fmt.Errorf("unfinished after %d bytes", size)}
		}
	}
}

// exchange sends a request on the current connection and waits for the answer.
func (c *Client) exchange(ctx context.Context, request *informerpb.Request) (*informerpb.Answer, error) {
	conn := c.conn
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	// SetDeadline fails only on a closed connection, which the write below reports.
	_ = conn.SetDeadline(time.Now().Add(c.config.Wait + c.config.AnswerMargin))
	if err := conn.write(request); err != nil {
		return nil, &Error{Op: "ask", Kind: KindUnanswered, Err: err}
	}
	var answer informerpb.Answer
	if err := conn.read(&answer); err != nil {
		return nil, &Error{Op: "ask", Kind: KindUnanswered, Err: err}
	}
	return &answer, nil
}
