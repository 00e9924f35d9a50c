/** Which revision of an environment document is in force and where newer ones are read from. */
@NullMarked
package org.kingcuproad.policy.revision;

import org.jspecify.annotations.NullMarked;
