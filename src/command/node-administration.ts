/** Commands for one node: show its state and its members, drain it, and issue keys. */
import * as Args from '@oclif/core/args';
import * as Flags from '@oclif/core/flags';
import * as z from 'zod';
import {AdministrationCommand, targetFlags} from './administration-command.js';

const maximumKeysPerRequest = 1000;
const keysSchema = z.looseObject({keys: z.array(z.string())});

export class StateCommand extends AdministrationCommand {
	static override summary = 'Dump the complete state of one node as JSON.';
	static override examples = [
		'<%= config.bin %> state --administration http://127.0.0.1:7400',
	];

	static override flags = targetFlags;

	override async run(): Promise<unknown> {
		const {flags} = await this.parse(StateCommand);
		const response = await this.sendRequest(flags, {method: 'GET', path: '/v1/state'});
		this.log(JSON.stringify(response, undefined, 2));
		return response;
	}
}

export class MembersCommand extends AdministrationCommand {
	static override summary = 'List the members that a node knows.';
	static override examples = ['<%= config.bin %> members --json'];
	static override flags = targetFlags;

	override async run(): Promise<unknown> {
		const {flags} = await this.parse(MembersCommand);
		const response = await this.sendRequest(flags, {method: 'GET', path: '/v1/members'});
		this.log(JSON.stringify(response, undefined, 2));
		return response;
	}
}

export class DrainCommand extends AdministrationCommand {
	static override summary =
		'Drain a node: it accepts no new work and completes the requests in flight.';

	static override examples = [
		'<%= config.bin %> drain --administration http://127.0.0.1:7400',
	];

	static override flags = targetFlags;

	override async run(): Promise<unknown> {
		const {flags} = await this.parse(DrainCommand);
		const response = await this.sendRequest(flags, {method: 'POST', path: '/v1/drain'});
		this.log('the node is leaving; its state dump shows what is still in flight');
		return response;
	}
}

export class KeysIssueCommand extends AdministrationCommand {
	static override summary = 'Issue idempotency keys for a service, one a line.';
	static override examples = ['<%= config.bin %> keys issue booking --count 10'];
	static override args = {
		service: Args.string({description: 'service that the keys are for', required: true}),
	};

	static override flags = {
		...targetFlags,
		count: Flags.integer({
			description: 'number of keys',
			default: 1,
			min: 1,
			max: maximumKeysPerRequest,
		}),
	};

	override async run(): Promise<unknown> {
		const {args, flags} = await this.parse(KeysIssueCommand);
		const body = JSON.stringify({service: args.service, count: flags.count});
		const response = await this.sendRequest(flags, {
			method: 'POST',
			path: '/v1/keys',
			body,
		});
		for (const key of keysSchema.parse(response).keys) {
			this.log(key);
		}

		return response;
	}
}
