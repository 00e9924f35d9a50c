/** Tracks the revision of the environment document in force and selects the sources of newer revisions. */
@NullMarked
package org.kingcuproad.policy.revision;

import org.jspecify.annotations.NullMarked;
