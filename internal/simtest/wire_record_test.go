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

// wireRecorder hashes messages and, if file is not nil, writes them.
type wireRecorder struct {
	hash  hash.Hash
	file  *os.File
	text  *bufio.Writer
	count int
}

// newRecorder begins a record; it is complete once it is closed.
func newRecorder(t *testing.T, name string) *wireRecorder {
	t.Helper()
	recorder := &wireRecorder{hash: sha256.New()}
	var output io.Writer = recorder.hash
	if *recordMessages {
		file, err := os.Create(filepath.Join(*recordDirectory, name+".messages"))
		if err != nil {
			t.Fatal(err)
		}
		recorder.file = file
		output = io.MultiWriter(recorder.hash, file)
	}
	recorder.text = bufio.NewWriter(output)
	return recorder
}

// observe adds a message, in a line of its own.
func (recorder *wireRecorder) observe(message Message) {
	recorder.count++
	// Flush returns the first error of the writer.
	_, _ = fmt.Fprintf(recorder.text, "%d %s>%s %s %s %d %d %q\n", message.Time, message.From, message.To,
		message.Method, message.Path, message.Status, message.RetryAfter, message.Body)
}

// close writes the record's hash to a file of its own.
func (recorder *wireRecorder) close(t *testing.T, name string) {
	t.Helper()
	if err := recorder.text.Flush(); err != nil {
		t.Fatal(err)
	}
	if recorder.file != nil {
		if err := recorder.file.Close(); err != nil {
			t.Fatal(err)
		}
	}
	sum := fmt.Sprintf("%s %d messages\n", hex.EncodeToString(recorder.hash.Sum(nil)), recorder.count)
	if err := os.WriteFile(filepath.Join(*recordDirectory, name+".sha256"), []byte(sum), 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestRecordWire records the wire of every scenario and of the first random plays.
func TestRecordWire(t *testing.T) {
	t.Parallel()
	if *recordDirectory == "" {
		t.Skip("only with -record")
	}
	if err := os.MkdirAll(*recordDirectory, 0o755); err != nil {
		t.Fatal(err)
	}
	for _, file := range scenarioFiles(t) {
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
			recorder := newRecorder(t, name)
			playRandomJobsObserved(t, seed, recorder.observe)
			recorder.close(t, name)
		})
	}
}

// recordScenario records the wire of a scenario.
func recordScenario(t *testing.T, file, name string) {
	t.Helper()
	recorder := newRecorder(t, name)
	player := &scenarioPlayer{observer: recorder.observe}
	datadriven.RunTest(t, file, func(t *testing.T, directive *datadriven.TestData) string {
		t.Helper()
		output, err := player.play(directive)
		if err != nil {
			t.Fatal(err)
		}
		return output
	})
	recorder.close(t, name)
}
