# Holds the clients' listening socket, as the platform does on days with upgrades, and starts schedulers that inherit
# it as descriptor 0, which Java can't do. Arguments: the port and the command. Reads lines "start OPS LOG"; prints the
# ID of each process that it has started. Ends at the end of its input.
use strict;
use warnings;
use IO::Socket::INET;

$| = 1;
$SIG{CHLD} = 'IGNORE';
my ($port, $command) = @ARGV;
my $socket = IO::Socket::INET->new(LocalAddr => '127.0.0.1', LocalPort => $port, Listen => 128, ReuseAddr => 1)
    or die "listen: $!";
print "listening\n";
while (my $line = <STDIN>) {
    my ($word, $ops, $log) = split ' ', $line;
    last if $word ne 'start';
    my $child = fork;
    die "fork: $!" unless defined $child;
    if ($child == 0) {
        open(STDIN, '<&', $socket) or die "dup: $!";
        open(STDOUT, '>>', $log) or die "log: $!";
        open(STDERR, '>&', \*STDOUT) or die "dup: $!";
        $ENV{ROUTER_OPS} = $ops;
        $ENV{ROUTER_PASSED_SOCKET} = '0';
        exec '/bin/sh', '-c', $command;
        die "exec: $!";
    }
    print "pid $child\n";
}
