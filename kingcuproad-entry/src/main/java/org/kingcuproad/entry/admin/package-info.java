/** Administration API of the entry. */
@NullMarked
package org.kingcuproad.entry.admin;

import org.jspecify.annotations.NullMarked;
