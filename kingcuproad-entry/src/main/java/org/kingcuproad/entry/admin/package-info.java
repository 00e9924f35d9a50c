/** Administration API. */
@NullMarked
package org.kingcuproad.entry.admin;

import org.jspecify.annotations.NullMarked;
