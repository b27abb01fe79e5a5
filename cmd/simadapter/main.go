// Simadapter connects balancers to the simulator. It reads batches of events from standard input, one JSON
// value a line, and writes the balancers' actions to standard output. It only decodes and encodes; package
// balancer makes all decisions.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
)

// inputBuffer is the size of the reader's buffer, in bytes. Longer lines are assembled from several reads.
const inputBuffer = 1 << 18

// gcPercent makes the garbage collector run less often, because the simulator counts CPU time.
const gcPercent = 400

func main() {
	// One goroutine does all the work. With more processors, the garbage collector would run on the others.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run handles the events of in until the input ends, and writes the actions to out after each batch. Errors
// name the line of input that caused them.
func run(in io.Reader, out io.Writer) error {
	s := newServer()
	lines := lineReader{r: bufio.NewReaderSize(in, inputBuffer)}
	for n := 1; ; n++ {
		line, err := lines.next()
		if err != nil && err != io.EOF {
			return fmt.Errorf("reading line %d: %w", n, err)
		}
		if len(line) == 0 {
			return nil
		}
		if err := s.handleLine(line); err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if !s.inBatch {
			if _, err := out.Write(s.out.Buf); err != nil {
				return fmt.Errorf("writing the reply: %w", err)
			}
			s.out.Reset()
		}
	}
}

// lineReader reads lines of any length.
type lineReader struct {
	r    *bufio.Reader
	long []byte // a line that is longer than the reader's buffer
}

// next returns the next line including its line break, or an empty one at the end of the input. It is valid
// until the next call.
func (l *lineReader) next() ([]byte, error) {
	line, err := l.r.ReadSlice('\n')
	l.long = l.long[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		l.long = append(l.long, line...)
		line, err = l.r.ReadSlice('\n')
	}
	if len(l.long) > 0 {
		l.long = append(l.long, line...)
		line = l.long
	}
	return line, err
}
