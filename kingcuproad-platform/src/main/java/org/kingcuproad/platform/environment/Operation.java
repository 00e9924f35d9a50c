package org.kingcuproad.platform.environment;

/**
 * One write of a stage.
 *
 * @param operationId identifier that the writer chose
 * @param baseRevision revision that the write replaced, or 0 if there was none
 */
public record Operation(String operationId, long baseRevision) {}
