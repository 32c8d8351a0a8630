package chat_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/entry/chat"
)

func TestParse(t *testing.T) {
	tests := map[string]struct {
		body  string
		field string
		want  string
	}{
		"plain text":        {body: `{"model":"m","messages":[{"role":"user","content":"hi"}]}`, want: "user\nhi\n"},
		"parts":             {body: `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, want: "user\nab\n"},
		"not JSON":          {body: `{`, field: ""},
		"no model":          {body: `{"messages":[{"role":"user","content":"hi"}]}`, field: "model"},
		"no messages":       {body: `{"model":"m"}`, field: "messages"},
		"empty messages":    {body: `{"model":"m","messages":[]}`, field: "messages"},
		"no role":           {body: `{"model":"m","messages":[{"content":"hi"}]}`, field: "messages[0].role"},
		"picture":           {body: `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, field: "messages[0].content"},
		"numeric content":   {body: `{"model":"m","messages":[{"role":"user","content":3}]}`, field: "messages[0].content"},
		"stream not a bool": {body: `{"model":"m","stream":"yes","messages":[{"role":"user","content":"hi"}]}`, field: "stream"},
		"negative limit":    {body: `{"model":"m","max_tokens":-1,"messages":[{"role":"user","content":"hi"}]}`, field: "max_tokens"},
		"two choices":       {body: `{"model":"m","n":2,"messages":[{"role":"user","content":"hi"}]}`, field: "n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request, err := chat.Parse([]byte(test.body))
			if test.want != "" {
				require.NoError(t, err)
				assert.Equal(t, test.want, string(request.Prompt))
				return
			}
			var parse *chat.ParseError
			require.ErrorAs(t, err, &parse)
			assert.Equal(t, test.field, parse.Field)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"stream":true}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := chat.Parse(body)
		if err != nil {
			var parse *chat.ParseError
			require.ErrorAs(t, err, &parse)
			return
		}
		again, err := chat.Parse(request.Body)
		require.NoError(t, err)
		assert.Equal(t, request.Prompt, again.Prompt)
		assert.True(t, again.Stream)
	})
}

func ExampleAccumulator() {
	var answer chat.Accumulator
	_ = answer.Add([]byte(`{"id":"1","choices":[{"delta":{"content":"four "}}]}`))
	_ = answer.Add([]byte(`{"id":"1","choices":[{"delta":{"content":"posts"},"finish_reason":"stop"}]}`))
	fmt.Println(answer.Text())
	// Output: four posts
}
