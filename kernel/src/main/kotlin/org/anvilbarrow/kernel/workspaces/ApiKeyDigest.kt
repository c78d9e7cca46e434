package org.anvilbarrow.kernel.workspaces

import java.security.MessageDigest

/**
 * SHA-256 digest of an API key.
 *
 * Keys are kept and compared as digests only, so that neither a log line nor the time of a comparison reveals one.
 */
public class ApiKeyDigest private constructor(
    private val bytes: ByteArray,
) {
    override fun equals(other: Any?): Boolean = other is ApiKeyDigest && MessageDigest.isEqual(bytes, other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "ApiKeyDigest(hidden)"

    public companion object {
        /** Returns the digest of [key]. */
        public fun of(key: String): ApiKeyDigest =
            ApiKeyDigest(MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray()))
    }
}
