/**
 * The command line, with a static table of commands. oclif discovers no commands on disk, so that
 * the program also runs as a single bundled file and as a single executable.
 */
import path from 'node:path';
import process from 'node:process';
import type {Command} from '@oclif/core/command';
import {CLIError} from '@oclif/core/errors';
import * as Flags from '@oclif/core/flags';
import {flush} from '@oclif/core/flush';
import {handle} from '@oclif/core/handle';
import type * as Interfaces from '@oclif/core/interfaces';
import {run} from '@oclif/core/run';
import {CheckCommand} from './check.js';
import {
	ConfigurationApplyCommand,
	ConfigurationHistoryCommand,
	ConfigurationStatusCommand,
} from './configuration.js';
import {LoadCommand} from './load.js';
import {NodeCommand} from './node.js';
import {
	DrainCommand,
	KeysIssueCommand,
	MembersCommand,
	StateCommand,
} from './node-administration.js';
import {PresetListCommand, PresetShowCommand, PresetSwitchCommand} from './preset.js';
import {product} from './product.js';
import {VersionCommand} from './version.js';

const commands: ReadonlyMap<string, Command.Class> = new Map<string, Command.Class>([
	['check', CheckCommand],
	['configuration:apply', ConfigurationApplyCommand],
	['configuration:history', ConfigurationHistoryCommand],
	['configuration:status', ConfigurationStatusCommand],
	['drain', DrainCommand],
	['keys:issue', KeysIssueCommand],
	['load', LoadCommand],
	['members', MembersCommand],
	['node', NodeCommand],
	['preset:list', PresetListCommand],
	['preset:show', PresetShowCommand],
	['preset:switch', PresetSwitchCommand],
	['state', StateCommand],
	['version', VersionCommand],
]);

const topics: Interfaces.Topic[] = [
	{name: 'preset', description: 'List, show and switch presets.'},
	{name: 'configuration', description: 'Apply configurations and show their status.'},
	{name: 'keys', description: 'Issue idempotency keys.'},
];

const description = 'A load balancer for servers whose load shifts in milliseconds.';

/**
 * Runs the command line.
 *
 * @param argumentList command-line arguments without the program name
 */
export async function runProgram(argumentList: string[]): Promise<void> {
	const plugin = createPlugin(path.dirname(process.execPath));
	const options = {
		root: plugin.root,
		pjson: plugin.pjson,
		plugins: new Map([[plugin.name, plugin]]),
	};
	try {
		await run(argumentList, options);
		await flush();
	} catch (error) {
		await handle(error instanceof Error ? error : new Error(String(error)));
	}
}

/** Creates the only oclif plugin, which contains all commands. */
function createPlugin(root: string): Interfaces.Plugin {
	const loadables = [...commands].map(([id, commandClass]) =>
		createLoadable(id, commandClass),
	);
	return {
		_base: product.name,
		alias: product.name,
		name: product.name,
		version: product.version,
		type: 'core',
		moduleType: 'commonjs',
		root,
		options: {root},
		pjson: {
			name: product.name,
			version: product.version,
			description,
			oclif: {bin: product.name, topicSeparator: ' '},
		},
		isRoot: true,
		valid: true,
		hasManifest: false,
		hooks: {},
		topics,
		commands: loadables,
		// eslint-disable-next-line @typescript-eslint/naming-convention -- Name required by oclif.
		commandIDs: loadables.map(({id}) => id),
		commandsDir: undefined,
		findCommand: async (id: string) => findCommand(id),
		async load() {
			// The commands are already loaded with the bundle.
		},
	};
}

function findCommand(id: string): Command.Class {
	const commandClass = commands.get(id);
	if (commandClass === undefined) {
		throw new CLIError(`command ${id} not found: see ${product.name} --help`);
	}

	return commandClass;
}

function createLoadable(id: string, commandClass: Command.Class): Command.Loadable {
	commandClass.id = id;
	const flags: Record<string, Command.Flag.Cached> = {
		...commandClass.baseFlags,
		...commandClass.flags,
	};
	if (commandClass.enableJsonFlag) {
		flags.json = Flags.boolean({description: 'print JSON for scripts'});
	}

	return {
		id,
		aliases: [],
		hiddenAliases: [],
		hidden: false,
		strict: commandClass.strict,
		summary: commandClass.summary,
		description: commandClass.description,
		examples: commandClass.examples,
		args: addNames(commandClass.args),
		flags: addNames(flags),
		load: async () => commandClass,
	};
}

/** Adds each name to its item, where the oclif help reads it. */
function addNames<Item extends Record<string, unknown>>(
	items: Readonly<Record<string, Item>>,
): Record<string, Item & {readonly name: string}> {
	const named = Object.entries(items).map(
		([name, item]) => [name, {...item, name}] as const,
	);
	return Object.fromEntries(named);
}
