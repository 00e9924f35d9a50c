package org.kingcuproad.ctl;

import java.util.Optional;

/**
 * An answer of the administration API.
 *
 * @param status HTTP status code
 * @param entityTag the revision in the ETag header, if there is one
 * @param operationId the operation id in the headers, if there is one
 * @param body the body
 */
record AdminReply(int status, Optional<String> entityTag, Optional<String> operationId, String body) {}
