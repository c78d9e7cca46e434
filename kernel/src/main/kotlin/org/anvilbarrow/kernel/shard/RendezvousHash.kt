package org.anvilbarrow.kernel.shard

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Hashes that every scheduler computes alike. */
internal object RendezvousHash {
    /** Returns the score of [member] for [key]; the member with the highest score is chosen. */
    fun score(
        key: String,
        member: String,
    ): Long {
        val digest = MessageDigest.getInstance("SHA-256").digest("$key\u0000$member".toByteArray())
        return ByteBuffer.wrap(digest).getLong()
    }
}
