/** Checks settings, configuration and experiment files without starting anything. */
import process from 'node:process';
import * as Args from '@oclif/core/args';
import {parse as parseYaml} from 'yaml';
import {parseConfiguration} from '../configuration/index.js';
import {parseExperiment} from '../load/index.js';
import {formatFaults, parseSettings, type DocumentFault} from '../settings/index.js';
import {BaseCommand} from './base-command.js';
import {exitCodes} from './exit-codes.js';

export const fileKinds = {
	settings: 'settings',
	configuration: 'configuration',
	experiment: 'experiment',
} as const;

export type FileKind = (typeof fileKinds)[keyof typeof fileKinds];

type CheckedFile = {
	readonly file: string;
	readonly kind: FileKind;
	readonly faults: readonly DocumentFault[];
};

export class CheckCommand extends BaseCommand {
	static override summary = 'Check settings, configuration and experiment files.';
	static override description =
		'Reports all faults at once, each with its line and a remedy. The kind of a file is detected from its content. Exits with 2 if a file has a fault.';

	static override examples = [
		'<%= config.bin %> check node.yaml darkrooms.yaml',
		'<%= config.bin %> check --json darkrooms.yaml',
	];

	static override args = {
		files: Args.string({description: 'files to check, one or more', required: true}),
	};

	static override strict = false;
	static override enableJsonFlag = true;

	override async run(): Promise<readonly CheckedFile[]> {
		const {argv} = await this.parse(CheckCommand);
		const results = argv.map(file => this.check(String(file)));
		for (const {file, kind, faults} of results) {
			this.log(
				faults.length === 0
					? `${file}: ${kind} without faults`
					: formatFaults(file, faults),
			);
		}

		if (results.some(({faults}) => faults.length > 0)) {
			process.exitCode = exitCodes.badInput;
		}

		return results;
	}

	private check(file: string): CheckedFile {
		const text = this.readText(file);
		const kind = detectKind(text);
		return {file, kind, faults: findFaults[kind](text)};
	}
}

const findFaults: Readonly<Record<FileKind, (text: string) => readonly DocumentFault[]>> =
	{
		settings: text =>
			parseSettings(text).match(
				() => [],
				faults => faults,
			),
		configuration: text =>
			parseConfiguration(text).match(
				() => [],
				faults => faults,
			),
		experiment: text =>
			parseExperiment(text).match(
				() => [],
				faults => faults,
			),
	};

/** Detects the kind by a key that only that kind has; the default is settings. */
function detectKind(text: string): FileKind {
	let content: unknown;
	try {
		content = parseYaml(text);
	} catch {
		return fileKinds.settings;
	}

	if (typeof content !== 'object' || content === null) {
		return fileKinds.settings;
	}

	if ('presets' in content) {
		return fileKinds.configuration;
	}

	return 'streams' in content ? fileKinds.experiment : fileKinds.settings;
}
