/**
 * Additions to XNIO that need its package-private classes: the accepting thread, and a listening
 * socket that was opened by another process.
 */
package org.xnio.nio;
