package engine

// Event is part of a response: one [Accepted], then any number of [Token], then
// one [Done].
type Event interface{ event() }

// Accepted reports that the engine accepted the call.
type Accepted struct {
	// Engine is the name of the engine that runs the call.
	Engine string `json:"engine"`
	// Incarnation identifies the start of the engine process.
	Incarnation string `json:"incarnation"`
	// WeightVersion is the version of the weights that it uses.
	WeightVersion string `json:"weightVersion"`
	// CachedTokens is the number of prompt tokens found in the cache.
	CachedTokens int `json:"cachedTokens"`
	// PromptTokens is the total number of prompt tokens.
	PromptTokens int `json:"promptTokens"`
}

// Token is one chunk of the response in the engine's encoding.
type Token struct {
	// Offset is the index of the chunk in the response, from zero.
	Offset int
	// Data is the chunk's JSON. It is valid only until the sink returns.
	Data []byte
}

// Done reports that the response is complete.
type Done struct {
	// PromptTokens is the number of prompt tokens.
	PromptTokens int `json:"promptTokens"`
	// CachedTokens is the number of prompt tokens found in the cache.
	CachedTokens int `json:"cachedTokens"`
	// OutputTokens is the number of tokens in the whole response.
	OutputTokens int `json:"outputTokens"`
}

func (Accepted) event() {}
func (Token) event()    {}
func (Done) event()     {}
