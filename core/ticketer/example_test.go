package ticketer_test

import (
	"fmt"
	"time"

	"jackdawcart.org/core/messenger/peerpb"
	"jackdawcart.org/core/ticketer"
)

func ExampleTable() {
	keys, _ := ticketer.NewKeyring([]byte("shared key"))
	now := time.Now()
	table := ticketer.NewTable(now, ticketer.Config{
		Node: "gw-1", Incarnation: 7, Lifetime: time.Minute, Retention: time.Minute,
		MaxTickets: 100, MaxResultBytes: 1 << 20,
	}, keys)

	text, _ := table.Issue(now, "inspector")
	ticket, _ := table.Verify(text, "inspector")
	request := ticketer.FingerprintOf("certificados", "issue", []byte("school 12"))

	fmt.Println(table.Begin(now, ticket, request).Verdict)
	fmt.Println(table.Begin(now, ticket, request).Verdict)
	table.Finish(now, ticket.ID, peerpb.Outcome_OUTCOME_RAN, []byte("certificate 881"))
	again := table.Begin(now, ticket, request)
	fmt.Println(again.Verdict, string(again.Answer.Result))
	other := ticketer.FingerprintOf("certificados", "issue", []byte("school 13"))
	fmt.Println(table.Begin(now, ticket, other).Verdict)
	// Output:
	// run
	// wait
	// known certificate 881
	// refused
}
