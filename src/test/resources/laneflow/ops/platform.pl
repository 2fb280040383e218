# Stands in for the platform in an upgrade: it holds the clients' listening socket and starts processes that
# inherit it as descriptor 0, which Java can't do. It reads lines "start OPS" or "end", and ends at the end of its
# input. It prints the port first, then the ID of each process that it has started.
use strict;
use IO::Socket::INET;

$| = 1;
$SIG{CHLD} = 'IGNORE';
my $socket = IO::Socket::INET->new(LocalAddr => '127.0.0.1', LocalPort => 0, Listen => 128) or die "listen: $!";
print "port ", $socket->sockport, "\n";
while (my $line = <STDIN>) {
    my ($word, $ops) = split ' ', $line;
    last if $word ne 'start';
    my $child = fork;
    if ($child == 0) {
        open(STDIN, '<&', $socket) or die "dup: $!";
        open(STDOUT, '>&', \*STDERR) or die "dup: $!";
        $ENV{ROUTER_OPS} = $ops;
        $ENV{ROUTER_PASSED_SOCKET} = '0';
        exec @ARGV;
        die "exec: $!";
    }
    print "pid $child\n";
}
