/** Pure decisions: routing, admission, claims, map switch, placement. */
@NullMarked
package org.kingcuproad.policy;

import org.jspecify.annotations.NullMarked;
