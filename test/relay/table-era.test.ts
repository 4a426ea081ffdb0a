/** How a node learns that the table was restored, and what follows. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	createTableEra,
	tableEraTopic,
	type TableEraMembership,
} from '../../src/relay/table-era.js';

function createMembershipView(announced?: number) {
	const published: number[] = [];
	const checks: number[] = [];
	let listener: (topic: string, version: number) => void = () => undefined;
	const membership: TableEraMembership = {
		publishVersion(_topic, version) {
			published.push(version);
		},
		onVersion(added) {
			listener = (topic, version) => {
				added(topic, version, 'peer');
			};
		},
		versionOf: () => announced,
		checkSeedRow() {
			checks.push(published.length);
		},
	};
	return {
		membership,
		published,
		checks,
		announce(topic: string, version: number) {
			listener(topic, version);
		},
	};
}

test('the first era of the table is no restore, a higher one is', () => {
	const era = createTableEra();
	const view = createMembershipView();
	era.attach(view.membership);
	era.record(4);
	expect([view.published, view.checks.length]).toEqual([[], 0]);
	era.record(5);
	era.record(4);
	expect([view.published, view.checks.length]).toEqual([[5], 1]);
	expect(era.current()).toEqual(5);
});

test('a node that does not ask the table checks its row when a peer tells of a new era', () => {
	const era = createTableEra();
	const view = createMembershipView();
	era.record(1);
	era.attach(view.membership);
	view.announce('routes', 9);
	expect(view.checks.length).toEqual(0);
	view.announce(tableEraTopic, 2);
	view.announce(tableEraTopic, 2);
	expect([era.current(), view.checks.length]).toEqual([2, 1]);
});

test('a node that learned of a new era while it joined checks its row', () => {
	const era = createTableEra();
	era.record(1);
	const view = createMembershipView(2);
	era.attach(view.membership);
	expect(view.checks.length).toEqual(1);
});
