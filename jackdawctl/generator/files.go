package generator

import (
	"os"
	"path/filepath"

	"jackdawcart.org/core/loader"
)

// Files returns the text of every example file by its path relative to the
// directory of the examples.
func Files() (map[string][]byte, error) {
	files := make(map[string][]byte)
	for i := range deployments {
		d := &deployments[i]
		if err := d.addSettings(files); err != nil {
			return nil, err
		}
		for _, doc := range d.documents() {
			text, err := doc.Encode()
			if err != nil {
				return nil, err
			}
			files[filepath.Join(d.name, "services", doc.Service+".json")] = append([]byte(generatedNotice), text...)
		}
		files[filepath.Join(d.name, "shared.keys")] = []byte(
			"# Shared keys, one a line; the first is the current one. An example only:\n" +
				"# make a key of your own with \"openssl rand -hex 32\".\n" +
				"example-key-of-" + d.name + "-replace-it\n")
	}
	return files, nil
}

func (d *deployment) addSettings(files map[string][]byte) error {
	for domain := range d.domains {
		for node := range d.nodes {
			for _, program := range []loader.Program{loader.Gateway, loader.Relay} {
				s := d.settings(domain, node, program)
				text, err := s.encode()
				if err != nil {
					return err
				}
				files[filepath.Join(d.name, "settings", s.Node+"-"+string(program)+".json")] = text
			}
		}
	}
	return nil
}

// Write writes every example file below a directory, which it creates if needed.
func Write(directory string) error {
	files, err := Files()
	if err != nil {
		return err
	}
	const (
		directoryMode = 0o755
		fileMode      = 0o644
	)
	for name, text := range files {
		path := filepath.Join(directory, name)
		if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
			return err
		}
		if err := os.WriteFile(path, text, fileMode); err != nil {
			return err
		}
	}
	return nil
}
