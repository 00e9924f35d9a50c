/** Requests in progress at the entry. */
@NullMarked
package org.kingcuproad.entry.request;

import org.jspecify.annotations.NullMarked;
