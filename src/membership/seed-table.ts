/** Seed rows in the platform's table: `members/FAILURE-DOMAIN/INDEX` holds a control address. */
import {type Result} from 'neverthrow';
import {type TableClient, type TableError, type TableRow} from '../table/index.js';
import {type SeedRow} from './seeds.js';

const keyPrefix = 'members/';
const maximumRows = 200;

/** Access of membership to the platform's table. */
export type SeedTable = {
	readonly readSeeds: () => Promise<readonly string[]>;
	readonly writeSeed: (row: SeedRow) => Promise<void>;
};

/**
 * Creates the functions that read and write seed rows.
 *
 * @param table the platform's table
 * @returns functions that reject when the table cannot be read
 */
export function createSeedTable(
	table: Pick<TableClient, 'list' | 'read' | 'write'>,
): SeedTable {
	return {
		async readSeeds() {
			const page = unwrap(await table.list({prefix: keyPrefix, limit: maximumRows}));
			return page.rows.map(({value}) => value);
		},
		async writeSeed({failureDomain, index, address}) {
			const key = `${keyPrefix}${failureDomain}/${index}`;
			const row: TableRow | undefined = unwrap(await table.read(key));
			if (row?.value === address) {
				return;
			}

			const condition =
				row === undefined
					? ({kind: 'absent'} as const)
					: ({kind: 'version', version: row.version} as const);
			// A conflict means that another node has just written its address, which serves as well.
			await table.write(key, address, condition);
		},
	};
}

function unwrap<Value>(result: Result<Value, TableError>): Value {
	if (result.isErr()) {
		throw new Error(result.error.message);
	}

	return result.value;
}
