package simtest

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// recordDirectory is where TestRecordWire writes what the controllers receive and send.
// Changes that are to leave the behaviour alone leave every hash as it was.
var (
	recordDirectory = flag.String("record", "", "directory to write the record of the wire to: a SHA-256 for each scenario and random play")
	recordMessages  = flag.Bool("record.messages", false, "write the messages, too")
)

// recordedPlays is the number of random plays that are recorded, from seed 1 on.
const recordedPlays = 60

// recorder hashes messages and, if file is not nil, writes them.
type recorder struct {
	hash  hash.Hash
	file  *os.File
	text  *bufio.Writer
	count int
}

func newRecorder(t *testing.T, name string) *recorder {
	t.Helper()
	r := &recorder{hash: sha256.New()}
	var to io.Writer = r.hash
	if *recordMessages {
		file, err := os.Create(filepath.Join(*recordDirectory, name+".messages"))
		if err != nil {
			t.Fatal(err)
		}
		r.file = file
		to = io.MultiWriter(r.hash, file)
	}
	r.text = bufio.NewWriter(to)
	return r
}

func (r *recorder) observe(m Message) {
	r.count++
	fmt.Fprintf(r.text, "%d %s>%s %s %s %d %d %q\n", m.Time, m.From, m.To, m.Method, m.Path, m.Status, m.RetryAfter, m.Body)
}

// close writes the record's hash to a file of its own.
func (r *recorder) close(t *testing.T, name string) {
	t.Helper()
	if err := r.text.Flush(); err != nil {
		t.Fatal(err)
	}
	if r.file != nil {
		if err := r.file.Close(); err != nil {
			t.Fatal(err)
		}
	}
	sum := fmt.Sprintf("%s %d messages\n", hex.EncodeToString(r.hash.Sum(nil)), r.count)
	if err := os.WriteFile(filepath.Join(*recordDirectory, name+".sha256"), []byte(sum), 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestRecordWire records the wire of every scenario and of the first random plays.
func TestRecordWire(t *testing.T) {
	if *recordDirectory == "" {
		t.Skip("only with -record")
	}
	if err := os.MkdirAll(*recordDirectory, 0o755); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scenarios: %v", len(files), err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			recordScenario(t, file, name)
		})
	}
	for seed := uint64(1); seed <= recordedPlays; seed++ {
		name := fmt.Sprintf("play_%d", seed)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRecorder(t, name)
			playObserved(t, seed, r.observe)
			r.close(t, name)
		})
	}
}

func recordScenario(t *testing.T, file, name string) {
	t.Helper()
	r := newRecorder(t, name)
	s := &scenario{wire: r.observe}
	datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		output, err := s.play(d)
		if err != nil {
			t.Fatal(err)
		}
		return output
	})
	r.close(t, name)
}
