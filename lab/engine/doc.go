// Package engine is a stand-in of a model runner: model engine, encoder, retriever or reranker.
//
// All four are one machine that works in batch steps. Each step gives every attempt in the batch one unit of prefill
// or one token, and takes longer the larger the batch is. The profile says how the kinds differ.
// The package reads the time through the time package only, so a test inside a synctest bubble controls its steps.
package engine
