// Package engine simulates a model runner: a model engine, encoder, retriever or reranker.
//
// All four kinds work in batch steps. A step performs one unit of prefill or generates one token for every attempt in the
// batch, and takes longer the larger the batch is. The profile holds the parameters that differ between the kinds.
// Time comes only from the time package, so tests in a synctest bubble control the steps.
package engine
