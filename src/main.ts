/** Entry of the program. */
import process from 'node:process';

process.stdout.write('foxtailtide\n');
