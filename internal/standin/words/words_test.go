package words_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/standin/words"
)

func TestAnswerDependsOnWholePrompt(t *testing.T) {
	prompt := strings.Repeat("a", 1001)
	base := words.New([]byte(prompt), "1", "").Text(0, 8)
	tests := map[string]words.Generator{
		"first byte": words.New([]byte("b"+prompt[1:]), "1", ""),
		"last byte":  words.New([]byte(prompt[:1000]+"b"), "1", ""),
		"weights":    words.New([]byte(prompt), "2", ""),
		"adapter":    words.New([]byte(prompt), "1", "x@1"),
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			assert.NotEqual(t, base, answer.Text(0, 8))
			assert.Equal(t, answer.Text(0, 8), answer.Text(0, 3)+answer.Text(3, 8))
		})
	}
}

func ExampleGenerator_Text() {
	answer := words.New([]byte("What do posts cost?"), "1", "")
	fmt.Println(answer.Text(0, 2) == answer.Word(0)+answer.Word(1))
	// Output: true
}
