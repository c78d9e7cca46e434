package org.anvilbarrow.scheduler.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import org.anvilbarrow.adapters.settings.SettingKeys

/** `anvilbarrow settings`. */
internal class SettingsCommand : CliktCommand(name = "settings") {
    override fun help(context: Context): String = "Prints all keys of the settings file as Markdown."

    override fun run(): Unit = echo(SettingKeys.markdown(), trailingNewline = false)
}
