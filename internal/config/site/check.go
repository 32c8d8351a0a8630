package site

import (
	"encoding/hex"
	"fmt"
	"strings"
)

const hashBytes = 32

func (c *checker) weights(weights Weights) {
	c.notNegative("weights.tailTtft", weights.TailTTFT)
	c.notNegative("weights.recomputation", weights.Recomputation)
	if weights.TailTTFT == 0 && weights.Recomputation == 0 {
		c.Add("weights", "are all zero", "set tailTtft or recomputation above zero; only their ratio matters")
	}
}

func (c *checker) checkModels(models []Model) {
	for i, model := range models {
		path := index("models", i)
		if model.WeightVersion == "" {
			c.Add(path+".weightVersion", "is missing", "name the version that engines should serve")
		}
		if model.BlockTokens <= 0 {
			c.Add(path+".blockTokens", fmt.Sprintf("is %d", model.BlockTokens), "give the length of a cached block in tokens, such as 2000")
		}
		adapters := newNames("adapter of this model")
		for j, adapter := range model.Adapters {
			at := index(path+".adapters", j)
			c.define(adapters, at+".name", adapter.Name)
			if adapter.Version == "" {
				c.Add(at+".version", "is missing", "name the version that engines should serve")
			}
		}
	}
}

func (c *checker) checkEngines(config Config) {
	for i, engine := range config.Engines {
		path := index("engines", i)
		c.address(path+".address", engine.Address, "engine "+engine.Name)
		c.refer(c.dataCentres, path+".dataCentre", engine.DataCentre)
		c.refer(c.models, path+".model", engine.Model)
		c.notNegative(path+".capacity", engine.Capacity)
		c.notNegative(path+".cacheBlocks", float64(engine.CacheBlocks))
		c.oneOf(path+".role", engine.Role, "serve", "drain", "standby")
	}
}

func (c *checker) checkStores(config Config) {
	if store := config.KVStore; store != nil {
		c.address("kvStore.address", store.Address, "the KV store")
		c.refer(c.dataCentres, "kvStore.dataCentre", store.DataCentre)
	}
	if store := config.WeightStore; store != nil {
		c.notNegative("weightStore.loadsAtOnce", float64(store.LoadsAtOnce))
		c.notNegative("weightStore.loadsPerMinute", store.LoadsPerMinute)
	}
}

func (c *checker) checkApplications(config Config) {
	modelOf := make(map[string]string, len(config.Engines))
	for _, engine := range config.Engines {
		modelOf[engine.Name] = engine.Model
	}
	for i, application := range config.Applications {
		path := index("applications", i)
		if c.refer(c.models, path+".model", application.Model) {
			c.adapter(path+".adapter", config.Models, application)
		}
		if len(application.Engines) == 0 {
			c.Add(path+".engines", "is empty", "list the engines that may answer")
		}
		c.referAll(c.engines, path+".engines", application.Engines)
		for j, engine := range application.Engines {
			if model, ok := modelOf[engine]; ok && model != application.Model {
				c.Add(index(path+".engines", j), fmt.Sprintf("engine %q serves model %q, not %q", engine, model, application.Model), "list engines of the application's model")
			}
		}
		c.minServing(path, application)
		c.dependsOn(path, application.DependsOn)
	}
}

func (c *checker) minServing(path string, application Application) {
	c.notNegative(path+".minServing", float64(application.MinServing))
	if application.MinServing > len(application.Engines) {
		c.Add(path+".minServing", fmt.Sprintf("is %d, more than the %d engines", application.MinServing, len(application.Engines)), "lower it or list more engines")
	}
}

func (c *checker) adapter(path string, models []Model, application Application) {
	if application.Adapter == "" {
		return
	}
	for _, model := range models {
		if model.Name != application.Model {
			continue
		}
		for _, adapter := range model.Adapters {
			if adapter.Name == application.Adapter {
				return
			}
		}
	}
	c.Add(path, fmt.Sprintf("model %q has no adapter %q", application.Model, application.Adapter), "define it under the model or mend the name")
}

// dependsOn checks what an application or a service needs.
func (c *checker) dependsOn(path string, list []string) {
	c.referAll(c.needs, path+".dependsOn", list)
	for i, name := range list {
		if c.applications.has(name) {
			c.Add(index(path+".dependsOn", i), fmt.Sprintf("%q is an application", name), "depend on services and stores only")
		}
	}
}

func (c *checker) checkWorkspaces(workspaces []Workspace) {
	known, hashes := newNames("workspace"), map[string]string{}
	for i, workspace := range workspaces {
		path := index("workspaces", i)
		c.define(known, path+".name", workspace.Name)
		c.notNegative(path+".share", workspace.Share)
		c.oneOf(path+".class", workspace.Class, "interactive", "batch")
		c.referAll(c.applications, path+".applications", workspace.Applications)
		c.referAll(c.services, path+".services", workspace.Services)
		for j, hash := range workspace.KeyHashes {
			c.keyHash(hashes, index(path+".keyHashes", j), hash)
		}
		if len(workspace.KeyHashes) == 0 {
			c.Add(path+".keyHashes", "is empty", "give the SHA-256 hash of at least one key: printf %s KEY | sha256sum")
		}
	}
}

func (c *checker) keyHash(known map[string]string, path, hash string) {
	decoded, err := hex.DecodeString(hash)
	if err != nil || len(decoded) != hashBytes {
		c.Add(path, "is no SHA-256 hash", "write 64 hexadecimal digits, as printf %s KEY | sha256sum prints them; never the key itself")
		return
	}
	hash = strings.ToLower(hash)
	if first, ok := known[hash]; ok {
		c.Add(path, "the same key is at "+first, "a key stands for one workspace; give each its own")
		return
	}
	known[hash] = path
}
