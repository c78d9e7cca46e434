package org.anvilbarrow.kernel.workspaces

/**
 * The workspaces of one version of the configuration.
 *
 * A key that two workspaces list identifies neither of them.
 */
public class WorkspaceDirectory(
    public val workspaces: List<Workspace>,
) {
    private val byName = workspaces.associateBy { it.name }
    private val ownersByKey: Map<ApiKeyDigest, List<Workspace>> =
        workspaces
            .flatMap { workspace -> workspace.keys.map { it to workspace } }
            .groupBy({ it.first }, { it.second })

    /** Names of the workspaces that list a key of another one. */
    public val sharingKeys: Set<String> =
        ownersByKey.values
            .filter { it.size > 1 }
            .flatten()
            .map { it.name }
            .toSet()

    public operator fun get(name: String): Workspace? = byName[name]

    /** Returns the workspace that [key] identifies, or null. */
    public fun ownerOf(key: ApiKeyDigest): Workspace? = ownersByKey[key]?.singleOrNull()
}
