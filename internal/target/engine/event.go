package engine

// Event is one step of an answer: [Accepted] once, then [Token] values, then
// [Done] once.
type Event interface{ event() }

// Accepted is the engine's word that it took the call.
type Accepted struct {
	// Engine is the name of the engine that answers.
	Engine string `json:"engine"`
	// Incarnation identifies the start of the engine process.
	Incarnation string `json:"incarnation"`
	// WeightVersion is the version of the weights that answer.
	WeightVersion string `json:"weightVersion"`
	// CachedTokens is the number of prompt tokens found in the cache.
	CachedTokens int `json:"cachedTokens"`
	// PromptTokens is the number of prompt tokens in all.
	PromptTokens int `json:"promptTokens"`
}

// Token is one chunk of the answer, as the engine encoded it.
type Token struct {
	// Offset counts the chunks of the answer from zero.
	Offset int
	// Data is the chunk's JSON. It is valid only until the sink returns.
	Data []byte
}

// Done is the engine's own end of the answer.
type Done struct {
	// PromptTokens is the number of prompt tokens.
	PromptTokens int `json:"promptTokens"`
	// CachedTokens is the number of prompt tokens found in the cache.
	CachedTokens int `json:"cachedTokens"`
	// OutputTokens is the number of tokens in the whole answer.
	OutputTokens int `json:"outputTokens"`
}

func (Accepted) event() {}
func (Token) event()    {}
func (Done) event()     {}
