package org.anvilbarrow.kernel.policy

/** Result of registering policies. */
public sealed interface PolicyRegistration {
    /** Every policy was registered. */
    public data class Complete(
        val registry: PolicyRegistry,
    ) : PolicyRegistration

    /** Two policies claim [name]; nothing was registered. */
    public data class DuplicateName(
        val name: String,
        val firstClass: String,
        val secondClass: String,
    ) : PolicyRegistration {
        /** One line for operators. */
        val message: String
            get() = "placement policy \"$name\" is registered by $firstClass and by $secondClass"
    }
}
