// Command stage-2 plays one case of the second independent review on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"os"
)

var cases = map[string]func(*Stage){}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(play(*name, *root, *record))
}

// play returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func play(name, root, record string) (status int) {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	s, err := NewStage(root, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.Close()
	defer func() {
		if v := recover(); v != nil {
			s.Note("the case could not run: %v", v)
			fmt.Fprintln(os.Stderr, "the case could not run:", v)
			status = 2
		}
	}()
	run(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail {
		return 1
	}
	return 0
}
