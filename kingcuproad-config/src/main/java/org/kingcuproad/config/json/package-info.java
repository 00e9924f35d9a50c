/** JSON with comments, checked against described shapes so that every mistake is reported at once. */
@NullMarked
package org.kingcuproad.config.json;

import org.jspecify.annotations.NullMarked;
