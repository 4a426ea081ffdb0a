/** Commands for configurations: apply a document, show its history and its status in the fleet. */
import * as Args from '@oclif/core/args';
import * as z from 'zod';
import {parseConfiguration} from '../configuration/index.js';
import {formatFaults} from '../settings/index.js';
import {
	AdministrationCommand,
	changeFlags,
	targetFlags,
} from './administration-command.js';
import {exitCodes} from './exit-codes.js';

const acceptedSchema = z.looseObject({version: z.number(), changeId: z.string()});
const historySchema = z.looseObject({
	version: z.number(),
	changes: z.array(
		z.looseObject({
			version: z.number(),
			by: z.string(),
			inForce: z.string(),
			changeId: z.string(),
		}),
	),
});
const statusSchema = z.looseObject({
	newestVersion: z.number(),
	nodesByVersion: z.record(z.string(), z.number()),
	behind: z.array(z.looseObject({nodeId: z.string()})),
	unansweredCount: z.number(),
	isEverywhere: z.boolean(),
});

export class ConfigurationApplyCommand extends AdministrationCommand {
	static override summary = 'Apply a configuration document.';
	static override description =
		'The file is checked first and rejected as a whole if it has a fault. Exits with 0 once the change is accepted, with 2 on a fault, and with 3 if another change was accepted first.';

	static override examples = [
		'<%= config.bin %> configuration apply darkrooms.yaml --expected-version 3',
	];

	static override args = {
		file: Args.string({description: 'YAML file of the document', required: true}),
	};

	static override flags = {...targetFlags, ...changeFlags};

	override async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ConfigurationApplyCommand);
		const body = this.readText(args.file);
		const document = parseConfiguration(body);
		if (document.isErr()) {
			return this.fail(exitCodes.badInput, formatFaults(args.file, document.error));
		}

		const response = await this.sendChange(flags, {
			method: 'PUT',
			path: '/v1/configuration',
			body,
		});
		const {version, changeId} = acceptedSchema.parse(response);
		this.log(`accepted as version ${version} (change ${changeId})`);
		return response;
	}
}

export class ConfigurationHistoryCommand extends AdministrationCommand {
	static override summary = 'Show who changed the configuration.';
	static override examples = ['<%= config.bin %> configuration history --json'];
	static override flags = targetFlags;

	override async run(): Promise<unknown> {
		const {flags} = await this.parse(ConfigurationHistoryCommand);
		const response = await this.sendRequest(flags, {
			method: 'GET',
			path: '/v1/configuration/history',
		});
		for (const {version, by, inForce, changeId} of historySchema.parse(response)
			.changes) {
			this.log(`version ${version}: ${inForce} in force, by ${by} (change ${changeId})`);
		}

		return response;
	}
}

export class ConfigurationStatusCommand extends AdministrationCommand {
	static override summary = 'Show which nodes have which version in force.';
	static override examples = ['<%= config.bin %> configuration status'];
	static override flags = targetFlags;

	override async run(): Promise<unknown> {
		const {flags} = await this.parse(ConfigurationStatusCommand);
		const response = await this.sendRequest(flags, {
			method: 'GET',
			path: '/v1/configuration/status',
		});
		const status = statusSchema.parse(response);
		this.log(
			`newest version ${status.newestVersion}, ${status.isEverywhere ? 'in force everywhere' : 'not yet everywhere'}`,
		);
		for (const [version, count] of Object.entries(status.nodesByVersion)) {
			this.log(`version ${version}: ${count} nodes`);
		}

		this.log(`behind: ${status.behind.map(({nodeId}) => nodeId).join(', ') || 'none'}`);
		this.log(`unanswered: ${status.unansweredCount}`);
		return response;
	}
}
