// Configuration revisions and tombstones: core/distributor.
// variants: APPLY_OLDER IGNORE_HEARD NO_TOMBSTONE EDIT_AGAIN READY_EMPTY NO_COMPARE
//
// There is one service document. Two operators edit it and a third deletes it,
// each by compare-and-swap against the revision that it read. A write is
// answered, or its answer is lost; in that case it is applied at once, later or
// never. Reads fail during an outage. Two nodes exchange revisions, and one of
// them reads the store. Every message ever sent may be received at any time, any
// number of times or never, which covers reordering, duplication and loss. Nodes
// restart without state.
//
// A revision determines the document, so the model has revisions only.
//
// Checked: no node reverts to an older revision, nor applies a revision older
// than one announced to it; an edit is applied at most once, and exactly once if
// it was accepted; a deleted service stays deleted; no node is ready without a
// document or a tombstone.
//
// A restarted node may have an older revision than before if no peer that it
// reaches has the newer one; docs/design.md lists this as not covered.

#define NODES 2
#define OPERATORS 3
#define REVISIONS 5
#define DELETER 2

// The store.
byte revision = 1;
byte deleted_at = 0;	// revision of the tombstone
byte applied[OPERATORS];
byte delayed_writer = OPERATORS;	// operator whose write is delayed; OPERATORS if none
byte delayed_expected;

// The messages ever sent, by revision; each may be received as a document or as
// a digest.
bool sent[REVISIONS];

// The nodes.
byte node_revision[NODES];	// revision applied
byte announced[NODES];	// highest revision known to exist
bool tombstone[NODES];

// Store.Put of one edit with its unique identifier.
inline write(operator, expected, ok) {
	ok = false;
	if
#ifdef NO_COMPARE
	:: revision < REVISIONS - 1 ->
#else
	:: revision == expected ->
#endif
		revision++; ok = true;
		applied[operator]++;
		assert(applied[operator] <= 1);
		assert(deleted_at == 0);
		if :: operator == DELETER -> deleted_at = revision :: else fi
	:: else
	fi
}

// jackdawctl: an edit or a deletion. A read resolves an unknown outcome.
proctype Operator(byte operator) {
	byte base_revision;
	bool ok;

	atomic { base_revision = revision; if :: deleted_at != 0 -> goto finished :: else fi };
write_again:	atomic {
		if
		:: write(operator, base_revision, ok);
			if
			:: ok -> assert(applied[operator] == 1); goto finished	// accepted
			:: !ok -> goto finished	// conflict: refused
			fi
		:: true -> write(operator, base_revision, ok)	// the answer is lost after the write
		:: delayed_writer == OPERATORS ->	// the answer is lost, the write is delayed
			delayed_writer = operator; delayed_expected = base_revision
		:: true -> goto finished	// not sent
		fi
	};
	// Read the identifier of the last edit.
	atomic {
		if
		:: true -> goto finished	// the read fails: the outcome is unknown
		:: applied[operator] == 1 -> goto finished	// accepted, if it is still the last edit
#ifdef EDIT_AGAIN
		// The store has another revision: repeat the edit against that one.
		:: revision != base_revision && deleted_at == 0 -> base_revision = revision; goto write_again
#else
		:: revision != base_revision -> goto finished	// refused or overwritten: unknown
#endif
		:: applied[operator] == 0 && revision == base_revision -> ok = false; goto write_again	// same expected revision
		fi
	};
finished:
	atomic { base_revision = 0; ok = false }
}

// A delayed write reaches the store at any time.
active proctype Network() {
	bool ok;
end:	do
	:: atomic {
		delayed_writer < OPERATORS ->
		write(delayed_writer, delayed_expected, ok);
		delayed_writer = OPERATORS; delayed_expected = 0; ok = false
	   }
	od
}

// Distributor.applyDocument: apply a received revision unless it is older than
// one that was applied or announced.
inline apply(me, r) {
	if
#ifdef APPLY_OLDER
	:: true ->
#else
#ifdef IGNORE_HEARD
	:: r > node_revision[me] ->
#else
	:: r > node_revision[me] && r >= announced[me] ->
#endif
#endif
		assert(r >= node_revision[me]);
		assert(r >= announced[me]);
		assert(!tombstone[me] || r == deleted_at);
		node_revision[me] = r; announced[me] = r;
		if
		:: r == deleted_at -> tombstone[me] = true
#ifdef NO_TOMBSTONE
			; node_revision[me] = 0; announced[me] = 0
#endif
		:: else
		fi
	:: else
	fi
}

proctype Node(byte me) {
	byte r;
	bool ready = true;

end:	do
	// core/distributor: a node selected to read the store does so, and applies the
	// revision read, possibly after a pause.
	:: atomic { me == 0 && ready && r == 0 -> r = revision }
	:: atomic { r != 0 -> apply(me, r); r = 0 }
	// core/distributor: push of a change, or digest to a random peer.
	:: atomic { ready && node_revision[me] > 0 -> sent[node_revision[me]] = true }
	// core/distributor: a document or a digest is received.
	:: atomic {
		ready && r == 0 ->
		if :: sent[1] -> r = 1 :: sent[2] -> r = 2 :: sent[3] -> r = 3 :: sent[4] -> r = 4 fi;
		if
		:: true -> apply(me, r)
		:: r > announced[me] -> announced[me] = r
		fi;
		r = 0
	   }
	// Restart: the process loses its whole state.
	:: atomic {
		ready ->
		node_revision[me] = 0; announced[me] = 0; tombstone[me] = false; r = 0;
#ifndef READY_EMPTY
		ready = false
#endif
	   }
	// core/distributor: a starting node applies the newest revision of a reachable
	// peer or of the store, and is then ready.
	:: atomic {
		!ready ->
		if
		:: node_revision[1 - me] > 0 -> announced[me] = announced[1 - me]; r = node_revision[1 - me]
		:: true -> r = revision
		fi;
		node_revision[me] = r;
		if :: announced[me] < r -> announced[me] = r :: else fi;
		tombstone[me] = (r == deleted_at);
		ready = true; r = 0
	   }
	// A ready node answers callers.
	:: atomic { ready -> assert(node_revision[me] > 0 || tombstone[me]) }
	od
}

init {
	atomic {
		node_revision[0] = 1; node_revision[1] = 1;
		announced[0] = 1; announced[1] = 1;
		run Operator(0); run Operator(1); run Operator(2);
		run Node(0); run Node(1)
	}
}
