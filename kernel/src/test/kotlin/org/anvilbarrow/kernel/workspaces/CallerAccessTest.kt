package org.anvilbarrow.kernel.workspaces

import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.time.Duration

/** Guards against withdrawn and unknown keys that are accepted, and against new keys that are denied. */
class CallerAccessTest {
    private val access = CallerAccess(AccessBounds.of(Duration.ofSeconds(5), Duration.ofSeconds(4)))

    @ParameterizedTest
    @MethodSource("cases")
    fun `a key decides only while the configuration is recent enough`(case: Case) {
        val key = case.key?.let(ApiKeyDigest::of)
        val decision = access.decide(case.directory, case.isPublic, key, Duration.ofMillis(case.ageMillis))
        expectThat(decision::class.simpleName).isEqualTo(case.decision)
        expectThat((decision as? AccessDecision.Granted)?.workspace).isEqualTo(case.workspace)
    }

    @Test
    fun `a key of two workspaces identifies neither of them`() {
        val directory = WorkspaceDirectory(listOf(workspace("a", "shared", "own"), workspace("b", "shared")))
        expectThat(directory.ownerOf(ApiKeyDigest.of("shared"))).isNull()
        expectThat(directory.ownerOf(ApiKeyDigest.of("own"))?.name).isEqualTo("a")
        expectThat(directory.sharingKeys).isEqualTo(setOf("a", "b"))
    }

    /** Guards against keys in logs and in errors that print a configuration. */
    @Test
    fun `no text of a workspace shows a key`() {
        expectThat(workspace("a", "secret").toString()).not().contains("secret")
    }

    class Case(
        val description: String,
        val decision: String,
        val workspace: String? = null,
        val key: String? = "key-a",
        val ageMillis: Long = 100,
        val isPublic: Boolean = false,
        val directory: WorkspaceDirectory? = DIRECTORY,
    ) {
        override fun toString() = description
    }

    companion object {
        private val DIRECTORY = WorkspaceDirectory(listOf(workspace("a", "key-a"), workspace("b", "key-b")))

        private fun workspace(
            name: String,
            vararg keys: String,
        ) = Workspace(name, persistentSetOf<ApiKeyDigest>().addAll(keys.map(ApiKeyDigest::of)))

        @JvmStatic
        fun cases() =
            listOf(
                Case("a key of a workspace", "Granted", "a"),
                Case("a key of another workspace", "Granted", "b", key = "key-b"),
                Case("an unknown key", "Denied", key = "key-c"),
                Case("no key", "Denied", key = null),
                Case("no key on a public queue", "Granted", key = null, isPublic = true),
                Case("a public queue and an old configuration", "Granted", ageMillis = 60_000, isPublic = true),
                Case("a cell without workspaces", "Granted", key = null, directory = null, ageMillis = 60_000),
                Case("a cell whose workspaces were all removed", "Denied", directory = WorkspaceDirectory(listOf())),
                Case("a known key at the last moment", "Granted", "a", ageMillis = 4_700),
                Case("a known key that may have been withdrawn", "Unconfirmed", ageMillis = 4_701),
                Case("an unknown key at the last moment", "Denied", key = "key-c", ageMillis = 3_700),
                Case(
                    "an unknown key of a version that should be known",
                    "Unconfirmed",
                    key = "key-c",
                    ageMillis = 3_701,
                ),
                Case("no key while keys cannot be checked", "Unconfirmed", key = null, ageMillis = 4_701),
            )
    }
}
