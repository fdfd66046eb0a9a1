package generator_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/loader"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/jackdawctl/generator"
)

const examples = "../../examples"

// The committed examples must equal the generator's output, as its next run would
// overwrite a manual edit.
func TestExamplesAreGenerated(t *testing.T) {
	files, err := generator.Files()
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range files {
		got, err := os.ReadFile(filepath.Join(examples, name))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(want), string(got)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// Operators start from the examples, so each file must be valid, and no two
// processes or targets may share an address.
func TestExamplesAreValid(t *testing.T) {
	services := make(map[string]int)
	addresses := container.NewSet[string]()
	use := func(path, address string) {
		if addresses.Has(address) {
			t.Errorf("%s: address %s is used twice", path, address)
		}
		addresses.Add(address)
	}
	paths, err := filepath.Glob(examples + "/*/*/*.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		if filepath.Base(filepath.Dir(path)) == "services" {
			services[filepath.Base(filepath.Dir(filepath.Dir(path)))]++
			checkDocument(t, path, use)
			continue
		}
		checkSettings(t, path, use)
	}
	want := map[string]int{"litoral": 27, "nz-central": 27, "demo": 1}
	if diff := cmp.Diff(want, services); diff != "" {
		t.Errorf("services: %s", diff)
	}
}

func checkDocument(t *testing.T, path string, use func(path, address string)) {
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	doc, err := parser.ParseFile(path, text)
	if err != nil {
		t.Error(err)
		return
	}
	for _, set := range doc.Sets {
		domains := container.NewSet[string]()
		for _, target := range set.Targets {
			use(path, target.Address.String())
			domains.Add(target.FailureDomain)
		}
		if len(domains) != 3 {
			t.Errorf("%s: set %s is in %d failure domains", path, set.Name, len(domains))
		}
	}
}

func checkSettings(t *testing.T, path string, use func(path, address string)) {
	program := loader.Relay
	if strings.HasSuffix(path, "-gateway.json") {
		program = loader.Gateway
	}
	s, err := loader.Load(path, program)
	if err != nil {
		t.Error(err)
		return
	}
	if _, err := loader.NewKeySource(s.KeyFile); err != nil {
		t.Error(err)
	}
	use(path, s.SessionAddress.String())
	use(path, s.AdminAddress.String())
	if program == loader.Gateway {
		use(path, s.CallerAddress.String())
	}
}
