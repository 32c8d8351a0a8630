package site

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// hashBytes is the length of a SHA-256 hash.
const hashBytes = 32

func (c *checker) checkWeights(weights Weights) {
	c.checkNotNegative("weights.tailTtft", weights.TailTTFT)
	c.checkNotNegative("weights.recomputation", weights.Recomputation)
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
		adapters := newDefinitions("adapter of this model")
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
		c.checkAddress(path+".address", engine.Address, "engine "+engine.Name)
		c.checkReference(c.dataCentres, path+".dataCentre", engine.DataCentre)
		c.checkReference(c.models, path+".model", engine.Model)
		c.checkNotNegative(path+".capacity", engine.Capacity)
		c.checkNotNegative(path+".cacheBlocks", float64(engine.CacheBlocks))
		c.checkOneOf(path+".role", engine.Role, "serve", "drain", "standby")
	}
}

func (c *checker) checkStores(config Config) {
	if store := config.KVStore; store != nil {
		c.checkAddress("kvStore.address", store.Address, "the KV store")
		c.checkReference(c.dataCentres, "kvStore.dataCentre", store.DataCentre)
	}
	if store := config.WeightStore; store != nil {
		c.checkNotNegative("weightStore.loadsAtOnce", float64(store.LoadsAtOnce))
		c.checkNotNegative("weightStore.loadsPerMinute", store.LoadsPerMinute)
	}
}

func (c *checker) checkApplications(config Config) {
	engineModels := make(map[string]string, len(config.Engines))
	for _, engine := range config.Engines {
		engineModels[engine.Name] = engine.Model
	}
	for i, application := range config.Applications {
		path := index("applications", i)
		if c.checkReference(c.models, path+".model", application.Model) {
			c.checkAdapter(path+".adapter", config.Models, application)
		}
		if len(application.Engines) == 0 {
			c.Add(path+".engines", "is empty", "list the engines that may answer")
		}
		c.checkReferences(c.engines, path+".engines", application.Engines)
		for j, engine := range application.Engines {
			if model, ok := engineModels[engine]; ok && model != application.Model {
				c.Add(index(path+".engines", j), fmt.Sprintf("engine %q serves model %q, not %q", engine, model, application.Model), "list engines of the application's model")
			}
		}
		c.checkMinServing(path, application)
		c.checkDependsOn(path, application.DependsOn)
	}
}

func (c *checker) checkMinServing(path string, application Application) {
	c.checkNotNegative(path+".minServing", float64(application.MinServing))
	if application.MinServing > len(application.Engines) {
		c.Add(path+".minServing", fmt.Sprintf("is %d, more than the %d engines", application.MinServing, len(application.Engines)), "lower it or list more engines")
	}
}

func (c *checker) checkAdapter(path string, models []Model, application Application) {
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

// checkDependsOn checks the dependencies of an application or a service.
func (c *checker) checkDependsOn(path string, list []string) {
	c.checkReferences(c.dependencies, path+".dependsOn", list)
	for i, name := range list {
		if c.applications.has(name) {
			c.Add(index(path+".dependsOn", i), fmt.Sprintf("%q is an application", name), "depend on services and stores only")
		}
	}
}

func (c *checker) checkWorkspaces(workspaces []Workspace) {
	known, hashes := newDefinitions("workspace"), map[string]string{}
	for i, workspace := range workspaces {
		path := index("workspaces", i)
		c.define(known, path+".name", workspace.Name)
		c.checkNotNegative(path+".share", workspace.Share)
		c.checkOneOf(path+".class", workspace.Class, "interactive", "batch")
		c.checkReferences(c.applications, path+".applications", workspace.Applications)
		c.checkReferences(c.services, path+".services", workspace.Services)
		for j, hash := range workspace.KeyHashes {
			c.checkKeyHash(hashes, index(path+".keyHashes", j), hash)
		}
		if len(workspace.KeyHashes) == 0 {
			c.Add(path+".keyHashes", "is empty", "give the SHA-256 hash of at least one key: printf %s KEY | sha256sum")
		}
	}
}

func (c *checker) checkKeyHash(known map[string]string, path, hash string) {
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
