// Tickets for non-idempotent requests: core/ticketer.
// variants: RESTART_RUNS NO_FENCE EXPIRY_NOT_CLOSED ANY_REQUEST PEER_RUNS PEER_REFUSES FORWARDER_REFUSES
//
// One ticket of one incarnation is used with two different requests, 1 and 2.
// Copies of both reach the issuer, a forwarding gateway and the peer that
// adopts finished answers, in any order; they may be lost or duplicated. The
// issuer expires the ticket, may be paused at any step, crashes and restarts
// with a new incarnation, or shuts down: it fences its tickets and hands its
// answers over.
//
// Checked: at most one request runs with the ticket, and at most once; a request
// that was answered "not run" has not run and never will; a known answer belongs
// to the request that ran; a running ticket never becomes free.

#define COPIES 4

mtype = { free, running, done, fenced };
mtype = { unknown, not_run, ran };

chan issuer = [2] of { byte };		// copies of requests, by request number
chan forwarder = [2] of { byte };
chan peer = [1] of { byte };
chan handover = [1] of { byte, mtype };	// TicketHandover: request number, outcome

// The issuer's Table.
mtype state = free;
byte request = 0;
mtype outcome = unknown;
bool admitted = false;	// Begin returned VerdictRun; the request is not sent yet
bool sent = false;	// the request is sent to the target
byte incarnation = 0;	// the ticket was issued by incarnation 0
bool stopping = false;
bool expired = false;

// The peer's adopted answer.
byte adopted_request = 0;
mtype adopted_outcome = unknown;

// History variables, used only by the assertions.
byte runs = 0;
byte ran_request = 0;
bool refused[3];

// The target runs the request.
inline execute(r) {
	runs++;
	assert(runs <= 1);
	assert(!refused[r]);
	ran_request = r
}

inline refuse(r) {
	assert(ran_request != r);
	refused[r] = true
}

inline answer_known(r, o) {
	if
	:: o == ran -> assert(ran_request == r)
	:: o == not_run -> refuse(r)
	:: else
	fi
}

// Table.Begin for a ticket of this incarnation; after_expiry is true for a
// goroutine that read the clock after the expiry.
inline begin(r, after_expiry) {
	if
	:: state == free && after_expiry ->
#ifndef EXPIRY_NOT_CLOSED
		state = fenced;
#endif
		refuse(r)
	:: state == free && !after_expiry ->
		state = running; request = r; admitted = true
	:: state == fenced -> refuse(r)
#ifndef ANY_REQUEST
	:: (state == running || state == done) && request != r -> refuse(r)
	:: state == running && request == r -> skip	// wait
	:: state == done && request == r -> answer_known(r, outcome)
#else
	:: state == running -> skip
	:: state == done -> answer_known(r, outcome)
#endif
	fi
}

active proctype Caller() {
	byte remaining = COPIES;
	byte r;
	do
	:: remaining > 0 ->
		atomic {
			if :: r = 1 :: r = 2 fi;
			remaining--;
			if
			:: nfull(issuer) -> issuer!r
			:: nfull(forwarder) -> forwarder!r
			:: skip	// lost
			fi;
			r = 0
		}
	:: remaining == 0 -> break
	od
}

active proctype Issuer() {
	byte r;
	mtype old_state;
end:	do
	// Table.Begin. A message that stays in the channel is received again.
	:: atomic {
		if :: issuer?r :: issuer?<r> fi;
		old_state = state;
		if
#ifndef RESTART_RUNS
		:: incarnation > 0 -> skip	// VerdictUnknown: ticket of another incarnation
		:: incarnation == 0 ->
#else
		:: true ->
#endif
			if
			:: begin(r, false)	// clock read before the expiry
			:: expired -> begin(r, true)
			fi
		fi;
		assert(!(old_state == running && state == free));
		old_state = 0;
		r = 0
	   }
	// The driver sends the request to the target, which runs it.
	:: atomic { admitted -> admitted = false; sent = true; execute(request) }
	// Table.Finish with OUTCOME_NOT_RUN: no byte was sent.
	:: atomic { admitted -> admitted = false; state = done; outcome = not_run }
	// Table.Finish with the answer, or with OUTCOME_UNKNOWN after the connection
	// broke.
	:: atomic {
		sent -> sent = false; state = done;
		if :: outcome = ran :: outcome = unknown fi
	   }
	// A crash loses the Table; the process restarts with a new incarnation.
	:: atomic {
		incarnation < 1 ->
		incarnation++; state = free; request = 0; outcome = unknown;
		admitted = false; sent = false; stopping = false
	   }
	// Table.Fence.
	:: atomic {
		incarnation == 0 && !stopping ->
		stopping = true;
#ifndef NO_FENCE
		if
		:: state == free -> state = fenced
		:: else
		fi
#endif
	   }
	// The answers that Table.Fence returned are handed over, possibly more than
	// once.
	:: atomic {
		stopping && state == done && nfull(handover) -> handover!request, outcome
	   }
#ifdef NO_FENCE
	// Without a fence, a free ticket is handed over as not run.
	:: atomic { stopping && state == free && nfull(handover) -> handover!1, not_run }
#endif
	od
}

// Table.Expire and the expiry seen by Table.Begin.
active proctype Clock() { expired = true }

// Another gateway: Table.Route, and Successor if the issuer has ended in the
// local membership view.
active proctype Forwarder() {
	byte r;
end:	do
	:: atomic {
		if :: forwarder?r :: forwarder?<r> fi;
		if
		:: nfull(issuer) -> issuer!r	// RouteForward
		:: nfull(peer) -> peer!r	// RouteIssuerGone, even if the issuer is still up
		:: true ->	// lost, or no answer: the outcome is reported as unknown
#ifdef FORWARDER_REFUSES
			refuse(r);
#endif
			skip
		fi;
		r = 0
	   }
	od
}

// The successor: Table.Adopt, and Table.Begin for adopted answers.
active proctype Peer() {
	byte r;
	mtype o;
end:	do
	:: atomic {
		if :: handover?r, o :: handover?<r, o> fi;
		if
		:: adopted_request == 0 -> adopted_request = r; adopted_outcome = o
		:: else	// an adopted answer is not replaced
		fi;
		r = 0; o = 0
	   }
	:: atomic {
		if :: peer?r :: peer?<r> fi;
		if
		:: adopted_request == 0 ->	// VerdictUnknown
#ifdef PEER_RUNS
			execute(r);
#endif
#ifdef PEER_REFUSES
			refuse(r);
#endif
			skip
		:: adopted_request == r -> answer_known(r, adopted_outcome)
		:: adopted_request != 0 && adopted_request != r -> refuse(r)
		fi;
		r = 0
	   }
	od
}
