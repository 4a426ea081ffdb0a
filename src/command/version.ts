/** Prints the version of the program and of Node.js. */
import process from 'node:process';
import {BaseCommand} from './base-command.js';
import {product} from './product.js';

export class VersionCommand extends BaseCommand {
	static override summary = 'Print the version of the program.';
	static override examples = [
		'<%= config.bin %> version',
		'<%= config.bin %> version --json',
	];

	static override enableJsonFlag = true;

	override async run(): Promise<{readonly version: string; readonly node: string}> {
		await this.parse(VersionCommand);
		this.log(`${product.name} ${product.version} (Node ${process.version})`);
		return {version: product.version, node: process.version};
	}
}
