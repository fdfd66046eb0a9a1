// Configuration revisions and tombstones: core/distributor.
// variants: APPLY_OLDER IGNORE_HEARD NO_TOMBSTONE EDIT_AGAIN READY_EMPTY NO_COMPARE
//
// One service document. Two operators edit it and a third deletes it, each by
// compare-and-swap against the revision it saw. A write is answered, or its
// answer is lost: it was then written, is written later, or never. Reads fail
// during an outage. Two nodes exchange revisions, one of them reads the store; every
// message ever sent may be received at any time, any number of times or never,
// which covers reordering, repetition and loss. Nodes restart without state.
//
// A revision determines the document, so only revisions are kept here.
//
// Checked: no node goes back to an older revision, nor applies one older than
// it has heard of; an edit is applied at most once, and exactly once if it was
// accepted; a deleted service stays deleted; no node is ready without a
// document.
//
// A node that restarts may come back with an older revision if no peer that it
// reaches has the newer one; docs/design.md names this as not covered.

#define NODES 2
#define OPERATORS 3
#define REVISIONS 5
#define DELETER 2

// The store.
byte revision = 1;
byte deleted_at = 0;	// revision of the tombstone
byte applied[OPERATORS];
byte late = OPERATORS;	// whose write comes later, if any
byte late_expected;

// Messages ever sent, by revision; each may arrive as a document or a digest.
bool sent[REVISIONS];

// The nodes.
byte node[NODES];	// revision in force
byte heard[NODES];	// highest revision heard of
bool tombstone[NODES];

// Store.Put of one edit with its unique identifier.
inline write(who, expected, ok) {
	ok = false;
	if
#ifdef NO_COMPARE
	:: revision < REVISIONS - 1 ->
#else
	:: revision == expected ->
#endif
		revision++; ok = true;
		applied[who]++;
		assert(applied[who] <= 1);
		assert(deleted_at == 0);
		if :: who == DELETER -> deleted_at = revision :: else fi
	:: else
	fi
}

// jackdawctl: an edit or deletion, resolved by reading back.
proctype Operator(byte who) {
	byte seen;
	bool ok;

	atomic { seen = revision; if :: deleted_at != 0 -> goto finished :: else fi };
again:	atomic {
		if
		:: write(who, seen, ok);
			if
			:: ok -> assert(applied[who] == 1); goto finished	// accepted
			:: !ok -> goto finished	// conflict: refused
			fi
		:: true -> write(who, seen, ok)	// the answer is lost after the write
		:: late == OPERATORS ->	// the answer is lost, the write comes later
			late = who; late_expected = seen
		:: true -> goto finished	// not sent
		fi
	};
	// Read back the identifier of the edit.
	atomic {
		if
		:: true -> goto finished	// the read fails: the outcome is unknown
		:: applied[who] == 1 -> goto finished	// accepted, if it is still the last edit
#ifdef EDIT_AGAIN
		// Another revision is there: edit again on top of it.
		:: revision != seen && deleted_at == 0 -> seen = revision; goto again
#else
		:: revision != seen -> goto finished	// refused or overwritten: unknown
#endif
		:: applied[who] == 0 && revision == seen -> ok = false; goto again	// same expected revision
		fi
	};
finished:
	atomic { seen = 0; ok = false }
}

// A write whose answer was lost reaches the store late.
active proctype Network() {
	bool ok;
end:	do
	:: atomic {
		late < OPERATORS ->
		write(late, late_expected, ok);
		late = OPERATORS; late_expected = 0; ok = false
	   }
	od
}

// core/distributor: apply a received revision unless it is older than one that
// was applied or heard of.
inline apply(me, r) {
	if
#ifdef APPLY_OLDER
	:: true ->
#else
#ifdef IGNORE_HEARD
	:: r > node[me] ->
#else
	:: r > node[me] && r >= heard[me] ->
#endif
#endif
		assert(r >= node[me]);
		assert(r >= heard[me]);
		assert(!tombstone[me] || r == deleted_at);
		node[me] = r; heard[me] = r;
		if
		:: r == deleted_at -> tombstone[me] = true
#ifdef NO_TOMBSTONE
			; node[me] = 0; heard[me] = 0
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
	// core/distributor: a reading member reads the store, then applies what it
	// read, perhaps after a pause.
	:: atomic { me == 0 && ready && r == 0 -> r = revision }
	:: atomic { r != 0 -> apply(me, r); r = 0 }
	// core/distributor: push of a change, and digest to a random peer.
	:: atomic { ready && node[me] > 0 -> sent[node[me]] = true }
	// core/distributor: a document or a digest arrives.
	:: atomic {
		ready && r == 0 ->
		if :: sent[1] -> r = 1 :: sent[2] -> r = 2 :: sent[3] -> r = 3 :: sent[4] -> r = 4 fi;
		if
		:: true -> apply(me, r)
		:: r > heard[me] -> heard[me] = r
		fi;
		r = 0
	   }
	// Restart: every state of the process is lost.
	:: atomic {
		ready ->
		node[me] = 0; heard[me] = 0; tombstone[me] = false; r = 0;
#ifndef READY_EMPTY
		ready = false
#endif
	   }
	// core/distributor: a starting node takes the newest revision of a peer
	// that it reaches, or of the store, and is then ready.
	:: atomic {
		!ready ->
		if
		:: node[1 - me] > 0 -> heard[me] = heard[1 - me]; r = node[1 - me]
		:: true -> r = revision
		fi;
		node[me] = r;
		if :: heard[me] < r -> heard[me] = r :: else fi;
		tombstone[me] = (r == deleted_at);
		ready = true; r = 0
	   }
	// A ready node answers callers.
	:: atomic { ready -> assert(node[me] > 0 || tombstone[me]) }
	od
}

init {
	atomic {
		node[0] = 1; node[1] = 1;
		heard[0] = 1; heard[1] = 1;
		run Operator(0); run Operator(1); run Operator(2);
		run Node(0); run Node(1)
	}
}
