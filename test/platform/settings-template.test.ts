/** The template of the settings with figures that are no whole numbers. */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {test} from 'node:test';
import {expect} from 'earl';
import {parseRelaySettings} from '../../src/relay/index.js';

const file = path.resolve(import.meta.dirname, '../../deploy/node.yaml.template');
const texts: ReadonlyMap<string, string> = new Map([
	['node', 'node'],
	['region', 'coast'],
	['zone', 'coast-0'],
	['service', 'bookings'],
	['ip', '127.0.0.1'],
	['app-addr', '127.0.0.1:1'],
	['listen.outbound', '127.0.0.1:2'],
	['listen.ready', '127.0.0.1:3'],
	['listen.control', '127.0.0.1:4'],
	['platform.addr', '127.0.0.1:5'],
	['port-range.0', '6'],
	['port-range.1', '7'],
	['limits.link-mbps', '12.5'],
	['bounds.config-ms', '2000'],
	['bounds.budget-ratio', '0.2'],
	['bounds.budget-slack', '58'],
	['bounds.revoke-ms', '5000'],
]);

function render(seconds: string): string {
	return readFileSync(file, 'utf8')
		.replaceAll(/\{\{[#\/][^\}]*\}\}/gv, '')
		.replaceAll(/\{\{([^\|\}]*)(\|json)?\}\}/gv, (_, name: string, json?: string) => {
			const text = texts.get(name) ?? seconds;
			return json ? JSON.stringify(text) : text;
		});
}

for (const [seconds, milliseconds] of [
	['6', 6000],
	['2.5', 2500],
] as const) {
	// A grace time of 2.5 s was read as 2.5 ms, after which a stop cut everything.
	test(`${seconds} s are ${milliseconds} ms`, () => {
		const {stop, repeats, teams} = parseRelaySettings(render(seconds))._unsafeUnwrap();
		expect(stop.graceMilliseconds).toEqual(milliseconds);
		expect(repeats.windowMilliseconds).toEqual(milliseconds);
		expect(teams.capWindowMilliseconds).toEqual(milliseconds);
	});
}
