package org.kingcuproad.model;

/**
 * A model that callers name in their requests, with its latency objectives.
 *
 * @param name name that callers use
 * @param timeToFirstTokenMs objective for the first token, in milliseconds
 * @param timeBetweenTokensMs objective between tokens, in milliseconds
 * @param deadlineMs time allowed for a whole answer, in milliseconds
 */
public record Model(String name, int timeToFirstTokenMs, int timeBetweenTokensMs, int deadlineMs) {}
