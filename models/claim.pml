// Idempotency keys claimed by compare-and-swap: core/claimer.
// variants: RUN_UNREAD RUN_ABSENT CLAIM_AGAIN TAKE_OVER BLIND_SETTLE REFUSE_HELD
//
// Two gateways try to run the same key against one store. A write is answered,
// never sent, or its answer is lost: it was then written, is written later, or
// never. Reads fail during an outage. A gateway is paused at any step, and one
// of them crashes and comes back with a new incarnation.
//
// Checked: the key runs at most once; an attempt refused as not run does not
// run; a final refusal (recorded in the store) is true for every attempt; an
// answer given from the store belongs to a run.

#define ATTEMPTS 2	// attempts of each gateway

mtype = { absent, claimed, done, notrun };

// The store's entry and the writes still under way, one slot for each gateway.
mtype value = absent;
byte claim = 0;		// unique identifier of the claim that was written
byte revision = 0;
bool late[2];
mtype late_value[2];
byte late_claim[2];
byte late_expected[2];

byte last_claim = 0;
bool crashed = false;

// What happened, for the assertions only.
byte runs = 0;
bool closed = false;	// a final "not run" was given

mtype = { answered, conflict, lost, unreachable };

inline apply(v, c, expected, result) {
	if
	:: revision == expected -> value = v; claim = c; revision++; result = answered
	:: else -> result = conflict
	fi
}

// Store.Put with its faults.
inline put(me, v, c, expected, result) {
	if
	:: true -> apply(v, c, expected, result)
	:: result = unreachable
	:: true -> apply(v, c, expected, result); result = lost
	:: true -> apply(v, c, expected, result); apply(v, c, expected, result)	// sent twice
	:: !late[me] ->	// written at any later time, or never
		late[me] = true; late_value[me] = v; late_claim[me] = c;
		late_expected[me] = expected; result = lost
	fi
}

// A crash before the next step: the open attempts are forgotten, and the new
// incarnation begins again. Writes under way still reach the store.
inline may_crash(me) {
	if
	:: true -> skip
	:: me == 0 && !crashed -> crashed = true; goto begin
	fi
}

inline execute() {
	runs++;
	assert(runs <= 1);
	assert(!closed)
}

// Record.decide for a record of another attempt.
inline decide() {
	if
	:: value == done -> assert(runs == 1)	// VerdictKnown
	:: value == notrun -> closed = true; assert(runs == 0)
	:: value == claimed ->	// VerdictHeld: the holder answers, or unknown
#ifdef REFUSE_HELD
		closed = true; assert(runs == 0);
#endif
#ifdef TAKE_OVER
		execute();
#endif
		skip
	:: value == absent -> skip
	fi
}

proctype Gateway(byte me) {
	mtype result = answered;
	mtype end_state = notrun;
	byte mine = 0;		// this attempt's claim
	byte at = 0;		// revision of the claim, or read by Settle
	byte left = ATTEMPTS;

begin:	// Claimer.Begin: admit, then the claim.
	atomic {
		if
		:: left == 0 -> goto finished
		:: left > 0 -> left--; last_claim++; mine = last_claim
		fi
	};
	atomic {
		may_crash(me);
		put(me, claimed, mine, 0, result);
		at = 1;
		if
		:: result == answered -> goto running
		:: result == unreachable -> goto begin	// refused, this attempt only
		:: else -> skip
		fi
	};
#ifdef CLAIM_AGAIN
	// The answer was lost: claim again under a new identifier, without a read.
	atomic {
		result == lost -> last_claim++; mine = last_claim;
		put(me, claimed, mine, revision, result);
		at = revision;
		if :: result == answered -> goto running :: else fi
	};
#endif
	// Claimer.readBack.
	atomic {
		may_crash(me);
		if
		:: true ->	// the read fails: Claimer.abandon
#ifdef RUN_UNREAD
			at = 1; goto running;
#endif
			end_state = notrun; goto settle
		:: value == absent ->	// Claimer.abandon
#ifdef RUN_ABSENT
			at = 1; goto running;
#endif
			end_state = notrun; goto settle
		:: value == claimed && claim == mine -> at = revision; goto running
		:: value != absent && claim != mine -> decide(); goto begin
		fi
	};

running:	// The driver sends the request, or it ends before a byte has left.
	atomic {
		may_crash(me);
		if
		:: execute(); end_state = done
		:: end_state = notrun
		fi
	};
	if
	:: skip
	:: goto begin	// Claimer.Finish with an unknown outcome writes nothing
	fi;
	// Claimer.Finish.
	atomic {
		may_crash(me);
		put(me, end_state, mine, at, result);
		if
		:: result == answered && end_state == notrun -> closed = true; assert(runs == 0)
		:: else
		fi;
		if :: result == answered -> goto begin :: else fi
	};

settle:	// Claimer.Settle: read, then write over this claim or its absence.
	atomic {
		may_crash(me);
		if
		:: true -> goto settle_later	// the read fails
#ifndef BLIND_SETTLE
		:: value != absent && (claim != mine || value != claimed) -> goto begin
		:: value == absent || (claim == mine && value == claimed) -> at = revision
#else
		:: at = revision
#endif
		fi
	};
	atomic {
		put(me, end_state, mine, at, result);
		if :: result == answered -> goto begin :: else -> goto settle_later fi
	};

settle_later:
	// A repeated attempt here is answered from memory until it is settled.
	goto settle;

finished:
	skip
}

// Writes whose answer was lost reach the store late.
active proctype Network() {
	mtype ignored;
end:	do
	:: atomic {
		late[0] -> late[0] = false;
		apply(late_value[0], late_claim[0], late_expected[0], ignored); ignored = 0
	   }
	:: atomic {
		late[1] -> late[1] = false;
		apply(late_value[1], late_claim[1], late_expected[1], ignored); ignored = 0
	   }
	od
}

init {
	atomic {
		run Gateway(0);
		run Gateway(1)
	}
}
