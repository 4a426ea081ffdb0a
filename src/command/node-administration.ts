/** Commands for one node: its state, the members it knows, its drain, and keys that it issues. */
import * as Args from '@oclif/core/args';
import * as Flags from '@oclif/core/flags';
import * as z from 'zod';
import {AdministrationCommand, targetFlags} from './administration-command.js';

const mostKeysAtOnce = 1000;
const keysSchema = z.looseObject({keys: z.array(z.string())});

export class StateCommand extends AdministrationCommand {
	static override summary = 'Dump the whole state of one node as JSON.';
	static override examples = [
		'<%= config.bin %> state --administration http://127.0.0.1:7400',
	];

	static override flags = targetFlags;

	override async run(): Promise<unknown> {
		const {flags} = await this.parse(StateCommand);
		const answer = await this.ask(flags, {method: 'GET', path: '/v1/state'});
		this.log(JSON.stringify(answer, undefined, 2));
		return answer;
	}
}

export class MembersCommand extends AdministrationCommand {
	static override summary = 'List the members that a node knows.';
	static override examples = ['<%= config.bin %> members --json'];
	static override flags = targetFlags;

	override async run(): Promise<unknown> {
		const {flags} = await this.parse(MembersCommand);
		const answer = await this.ask(flags, {method: 'GET', path: '/v1/members'});
		this.log(JSON.stringify(answer, undefined, 2));
		return answer;
	}
}

export class DrainCommand extends AdministrationCommand {
	static override summary =
		'Let a node leave: it takes no new work and finishes what it has.';

	static override examples = [
		'<%= config.bin %> drain --administration http://127.0.0.1:7400',
	];

	static override flags = targetFlags;

	override async run(): Promise<unknown> {
		const {flags} = await this.parse(DrainCommand);
		const answer = await this.ask(flags, {method: 'POST', path: '/v1/drain'});
		this.log('the node is leaving; its state dump tells what is still in flight');
		return answer;
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
			description: 'how many',
			default: 1,
			min: 1,
			max: mostKeysAtOnce,
		}),
	};

	override async run(): Promise<unknown> {
		const {args, flags} = await this.parse(KeysIssueCommand);
		const body = JSON.stringify({service: args.service, count: flags.count});
		const answer = await this.ask(flags, {method: 'POST', path: '/v1/keys', body});
		for (const key of keysSchema.parse(answer).keys) {
			this.log(key);
		}

		return answer;
	}
}
