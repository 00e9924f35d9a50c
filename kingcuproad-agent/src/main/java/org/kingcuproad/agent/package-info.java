/** The agent, which runs next to each upstream and makes the last check before a request is executed. */
@NullMarked
package org.kingcuproad.agent;

import org.jspecify.annotations.NullMarked;
