/** Which requests wait or are refused while a service has less capacity than its callers ask for. */
@NullMarked
package org.kingcuproad.policy.scarcity;

import org.jspecify.annotations.NullMarked;
