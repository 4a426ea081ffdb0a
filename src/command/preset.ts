/** Commands for presets: list all, show one, and switch to one. */
import * as Args from '@oclif/core/args';
import {stringify} from 'yaml';
import * as z from 'zod';
import {
	AdministrationCommand,
	changeFlags,
	targetFlags,
} from './administration-command.js';

const presetsSchema = z.looseObject({
	version: z.number(),
	inForce: z.string(),
	presets: z.array(z.string()),
});
const presetSchema = z.looseObject({isInForce: z.boolean(), preset: z.unknown()});
const acceptedSchema = z.looseObject({version: z.number(), changeId: z.string()});
const nameArgument = {
	name: Args.string({description: 'name of the preset', required: true}),
};

export class PresetListCommand extends AdministrationCommand {
	static override summary = 'List the presets; the one in force is marked.';
	static override examples = [
		'<%= config.bin %> preset list --administration http://127.0.0.1:7400',
	];

	static override flags = targetFlags;

	override async run(): Promise<unknown> {
		const {flags} = await this.parse(PresetListCommand);
		const response = await this.sendRequest(flags, {method: 'GET', path: '/v1/presets'});
		const {version, inForce, presets} = presetsSchema.parse(response);
		this.log(`version ${version}`);
		for (const name of presets) {
			this.log(`${name === inForce ? '*' : ' '} ${name}`);
		}

		return response;
	}
}

export class PresetShowCommand extends AdministrationCommand {
	static override summary = 'Show a preset with its defaults filled in.';
	static override examples = ['<%= config.bin %> preset show peaks'];
	static override args = nameArgument;
	static override flags = targetFlags;

	override async run(): Promise<unknown> {
		const {args, flags} = await this.parse(PresetShowCommand);
		const path = `/v1/presets/${encodeURIComponent(args.name)}`;
		const response = await this.sendRequest(flags, {method: 'GET', path});
		const {isInForce, preset} = presetSchema.parse(response);
		this.log(
			`# ${args.name}${isInForce ? ', in force' : ''}\n${stringify(preset).trimEnd()}`,
		);
		return response;
	}
}

export class PresetSwitchCommand extends AdministrationCommand {
	static override summary = 'Put a preset in force everywhere.';
	static override description =
		'Exits with 0 once the change is accepted: it is stored and will not be reverted. See `configuration status` for the nodes that have it in force. Exits with 3 if another change was accepted first.';

	static override examples = [
		'<%= config.bin %> preset switch peaks',
		'<%= config.bin %> preset switch peaks --expected-version 7 --by ada --json',
	];

	static override args = nameArgument;
	static override flags = {...targetFlags, ...changeFlags};

	override async run(): Promise<unknown> {
		const {args, flags} = await this.parse(PresetSwitchCommand);
		const path = `/v1/presets/${encodeURIComponent(args.name)}/switch`;
		const response = await this.sendChange(flags, {method: 'POST', path});
		const {version, changeId} = acceptedSchema.parse(response);
		this.log(`${args.name} accepted as version ${version} (change ${changeId})`);
		return response;
	}
}
